package org.cowslipyoke.transport;

import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * A report of loads as one datagram: the array [format, vm, started, sequence, loads], where loads
 * is a map from a server's incarnation to [in flight, unread tokens, resident tokens]. The format
 * tells whether the report is complete or partial.
 */
public final class LoadReportCodec {

  /** Largest datagram, in bytes. */
  public static final int MAX_BYTES = 16_384;

  /** Servers in one report; their entries fit {@link #MAX_BYTES}. */
  static final int MAX_SERVERS = 200;

  private static final int COMPLETE = 1;
  private static final int PARTIAL = 2;
  private static final int FIELDS = 5;

  private LoadReportCodec() {}

  /** Encodes a report; servers above the bound are left out, those with the least work first. */
  public static byte[] encode(Report r) {
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(FIELDS).packInt(r.partial() ? PARTIAL : COMPLETE).packString(r.vm());
          p.packLong(r.startedMs()).packLong(r.sequence());
          p.packMapHeader(Math.min(MAX_SERVERS, r.loads().size()));
          var busiest =
              r.loads().entrySet().stream()
                  .sorted(
                      (a, b) ->
                          Long.compare(
                              b.getValue().residentTokens(), a.getValue().residentTokens()))
                  .limit(MAX_SERVERS)
                  .toList();
          for (var e : busiest) {
            p.packString(e.getKey());
            p.packArrayHeader(3).packInt(e.getValue().inFlight());
            p.packLong(e.getValue().prefillTokens()).packLong(e.getValue().residentTokens());
          }
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no report of this format
   */
  public static Report decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "load report",
        (u, f) -> {
          int fields = f.header();
          int format = f.count();
          if (fields != FIELDS || (format != COMPLETE && format != PARTIAL)) {
            throw new MalformedResponseException("unknown format of a load report");
          }
          String vm = f.name();
          long startedMs = f.size();
          long sequence = f.size();
          int servers = u.unpackMapHeader();
          if (servers > MAX_SERVERS) {
            throw new MalformedResponseException("too many servers in a load report: " + servers);
          }
          Map<String, Load> loads = new HashMap<>();
          for (int i = 0; i < servers; i++) {
            String incarnation = f.name();
            if (f.header() != 3) {
              throw new MalformedResponseException("malformed load of " + incarnation);
            }
            loads.put(incarnation, new Load(f.count(), f.size(), f.size()));
          }
          return new Report(vm, startedMs, sequence, Map.copyOf(loads), format == PARTIAL);
        });
  }
}
