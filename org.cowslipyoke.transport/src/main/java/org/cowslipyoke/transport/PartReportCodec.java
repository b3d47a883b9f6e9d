package org.cowslipyoke.transport;

import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.suspect.PartReport;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * A report of suspected prompt parts as one datagram: the array [format, crashes, begun], where
 * crashes is a map from a server's incarnation to {@link CrashedRun}s and begun a map from the
 * fingerprint of a part to an age. It goes to the same port as the other reports, whose arrays have
 * other lengths.
 */
public final class PartReportCodec {

  private static final int FORMAT = 1;
  private static final int FIELDS = 3;

  /** First byte of a MessagePack array of {@link #FIELDS} elements. */
  private static final byte FIRST_BYTE = (byte) (0x90 | FIELDS);

  private PartReportCodec() {}

  /** Returns whether a datagram claims to be a report of suspected parts. */
  public static boolean isReport(byte[] bytes, int length) {
    return length > 0 && bytes[0] == FIRST_BYTE;
  }

  /** Encodes a report. */
  public static byte[] encode(PartReport r) {
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(FIELDS).packInt(FORMAT);
          SuspectReportCodec.packCrashes(p, r.crashes());
          p.packMapHeader(r.begunAgesMs().size());
          for (Map.Entry<Long, Long> e : r.begunAgesMs().entrySet()) {
            p.packLong(e.getKey()).packLong(e.getValue());
          }
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no report of this format
   */
  public static PartReport decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "part report",
        (u, f) -> {
          if (f.header() != FIELDS || f.count() != FORMAT) {
            throw new MalformedResponseException("unknown format of a part report");
          }
          var crashes = SuspectReportCodec.crashes(u, f, length);
          Map<Long, Long> begun = new HashMap<>();
          int n = SuspectReportCodec.bounded(u.unpackMapHeader(), length);
          for (int i = 0; i < n; i++) {
            begun.put(f.number(), f.size());
          }
          return new PartReport(crashes, Map.copyOf(begun));
        });
  }
}
