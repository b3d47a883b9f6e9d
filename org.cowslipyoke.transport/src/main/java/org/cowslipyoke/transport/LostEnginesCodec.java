package org.cowslipyoke.transport;

import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * The engines that an entry has found lost as one datagram: the array [name, incarnations], whose
 * name tells it apart from other reports.
 */
public final class LostEnginesCodec {

  /** Maximum number of engines in a report. */
  public static final int MAX_ENGINES = 200;

  private static final String NAME = "lost-engines";
  private static final byte[] PREFIX = Datagrams.namedPrefix(2, NAME);

  private LostEnginesCodec() {}

  /** Returns whether a datagram claims to be a report of lost engines. */
  public static boolean isReport(byte[] bytes, int length) {
    return Datagrams.startsWith(bytes, length, PREFIX);
  }

  /** Encodes at most {@link #MAX_ENGINES} incarnations. */
  public static byte[] encode(List<String> incarnations) {
    List<String> sent = incarnations.subList(0, Math.min(MAX_ENGINES, incarnations.size()));
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(2).packString(NAME).packArrayHeader(sent.size());
          for (String s : sent) {
            p.packString(s);
          }
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no report of this format
   */
  public static List<String> decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "report of lost engines",
        (u, f) -> {
          if (f.header() != 2 || !f.name().equals(NAME)) {
            throw new MalformedResponseException("unknown format of a report of lost engines");
          }
          int n = f.header();
          if (n > MAX_ENGINES) {
            throw new MalformedResponseException("too many lost engines: " + n);
          }
          List<String> all = new ArrayList<>();
          for (int i = 0; i < n; i++) {
            all.add(f.name());
          }
          return List.copyOf(all);
        });
  }
}
