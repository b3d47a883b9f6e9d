package org.cowslipyoke.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.ratelimit.RateReport;
import org.cowslipyoke.ratelimit.RateReport.Demand;
import org.cowslipyoke.ratelimit.RateReport.Grant;
import org.cowslipyoke.ratelimit.RateReport.Statement;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * Reports on the rates of servers as one datagram: the array [name, sender, statements, demands,
 * grants], whose name tells it apart from other reports. Each element is flattened into its fields.
 */
public final class RateReportCodec {

  private static final String NAME = "rates";
  private static final byte[] PREFIX = Datagrams.namedPrefix(5, NAME);

  /** Reads one element of a list. */
  private interface ElementReader<T> {
    T read(FieldReader f) throws IOException, MalformedResponseException;
  }

  private RateReportCodec() {}

  /** Returns whether a datagram claims to be a report of this kind. */
  public static boolean isReport(byte[] bytes, int length) {
    return Datagrams.startsWith(bytes, length, PREFIX);
  }

  /** Encodes a report. */
  public static byte[] encode(RateReport r) {
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(5).packString(NAME).packString(r.sender());
          p.packArrayHeader(r.statements().size());
          for (Statement s : r.statements()) {
            p.packString(s.incarnation()).packDouble(s.rate()).packLong(s.ageMs());
          }
          p.packArrayHeader(r.demands().size());
          for (Demand d : r.demands()) {
            p.packString(d.incarnation()).packInt(d.arrivals()).packInt(d.unused());
          }
          p.packArrayHeader(r.grants().size());
          for (Grant g : r.grants()) {
            p.packString(g.incarnation()).packInt(g.permits());
          }
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no report of this format
   */
  public static RateReport decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "report on rates",
        (u, f) -> {
          if (f.header() != 5 || !f.name().equals(NAME)) {
            throw new MalformedResponseException("unknown format of a report on rates");
          }
          return new RateReport(
              f.name(),
              list(f, x -> new Statement(x.name(), rate(u.unpackDouble()), x.size())),
              list(f, x -> new Demand(x.name(), x.count(), x.count())),
              list(f, x -> new Grant(x.name(), x.count())));
        });
  }

  private static <T> List<T> list(FieldReader f, ElementReader<T> element)
      throws IOException, MalformedResponseException {
    int n = f.header();
    if (n > RateReport.MAX_ELEMENTS) {
      throw new MalformedResponseException("too many elements in a report on rates: " + n);
    }
    List<T> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      all.add(element.read(f));
    }
    return List.copyOf(all);
  }

  private static double rate(double value) throws MalformedResponseException {
    if (Double.isNaN(value) || value < 0) {
      throw new MalformedResponseException("invalid rate");
    }
    return value;
  }
}
