package org.cowslipyoke.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.suspect.SuspectReport;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;
import org.cowslipyoke.util.MalformedResponseException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A report of suspects as one datagram: the array [format, crashes, cleared, alive], where crashes
 * is a map from a server's incarnation to [fingerprint, age, ran] of each run, cleared an array of
 * fingerprints, and alive a map from a server's incarnation to an age. It goes to the same port as
 * reports of loads, whose array has another length.
 */
public final class SuspectReportCodec {

  private static final int FORMAT = 1;
  private static final int FIELDS = 4;

  /** First byte of a MessagePack array of {@link #FIELDS} elements. */
  private static final byte FIRST_BYTE = (byte) (0x90 | FIELDS);

  private SuspectReportCodec() {}

  /** Returns whether a datagram claims to be a report of suspects. */
  public static boolean isReport(byte[] bytes, int length) {
    return length > 0 && bytes[0] == FIRST_BYTE;
  }

  /** Encodes a report. */
  public static byte[] encode(SuspectReport r) {
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(FIELDS).packInt(FORMAT);
          packCrashes(p, r.crashes());
          p.packArrayHeader(r.cleared().size());
          for (long f : r.cleared()) {
            p.packLong(f);
          }
          p.packMapHeader(r.aliveAgesMs().size());
          for (Map.Entry<String, Long> e : r.aliveAgesMs().entrySet()) {
            p.packString(e.getKey()).packLong(e.getValue());
          }
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no report of this format
   */
  public static SuspectReport decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "suspect report",
        (u, f) -> {
          if (f.header() != FIELDS || f.count() != FORMAT) {
            throw new MalformedResponseException("unknown format of a suspect report");
          }
          Map<String, List<CrashedRun>> crashes = crashes(u, f, length);
          List<Long> cleared = new ArrayList<>();
          int n = bounded(f.header(), length);
          for (int i = 0; i < n; i++) {
            cleared.add(f.number());
          }
          Map<String, Long> alive = new HashMap<>();
          int signs = bounded(u.unpackMapHeader(), length);
          for (int i = 0; i < signs; i++) {
            alive.put(f.name(), f.number());
          }
          return new SuspectReport(crashes, List.copyOf(cleared), Map.copyOf(alive));
        });
  }

  /** Encodes runs by the incarnation of the server that they lost. */
  static void packCrashes(MessageBufferPacker p, Map<String, List<CrashedRun>> crashes)
      throws IOException {
    p.packMapHeader(crashes.size());
    for (Map.Entry<String, List<CrashedRun>> e : crashes.entrySet()) {
      p.packString(e.getKey()).packArrayHeader(e.getValue().size());
      for (CrashedRun run : e.getValue()) {
        p.packArrayHeader(3).packLong(run.fingerprint());
        p.packLong(run.ageMs()).packLong(run.ranMs());
      }
    }
  }

  /** Decodes what {@link #packCrashes} wrote. */
  static Map<String, List<CrashedRun>> crashes(MessageUnpacker u, FieldReader f, int length)
      throws IOException, MalformedResponseException {
    Map<String, List<CrashedRun>> crashes = new HashMap<>();
    int servers = bounded(u.unpackMapHeader(), length);
    for (int i = 0; i < servers; i++) {
      crashes.put(f.name(), runs(f, length));
    }
    return Map.copyOf(crashes);
  }

  private static List<CrashedRun> runs(FieldReader f, int length)
      throws IOException, MalformedResponseException {
    List<CrashedRun> runs = new ArrayList<>();
    int n = bounded(f.header(), length);
    for (int i = 0; i < n; i++) {
      if (f.header() != 3) {
        throw new MalformedResponseException("malformed run in a suspect report");
      }
      runs.add(new CrashedRun(f.number(), f.size(), f.size()));
    }
    return List.copyOf(runs);
  }

  /** Each element has a byte at least, so a larger count is a lie. */
  static int bounded(int count, int length) throws MalformedResponseException {
    if (count > length) {
      throw new MalformedResponseException("count exceeds the datagram: " + count);
    }
    return count;
  }
}
