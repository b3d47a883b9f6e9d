package org.cowslipyoke.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.RankLoad;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.relay.UrgencyRank;
import org.cowslipyoke.util.MalformedResponseException;
import org.msgpack.core.MessageBufferPacker;

/**
 * A report of loads as one datagram: the array [format, vm, started, sequence, loads], where loads
 * is a map from a server's incarnation to its ranks of urgency that have load, each as [rank, in
 * flight, unread tokens, resident tokens]. The format tells whether the report is complete or
 * partial. The formats of earlier versions, which have one such list per server and no rank, are
 * decoded as load of unknown urgency; earlier versions ignore the new ones.
 */
public final class LoadReportCodec {

  /** Largest datagram, in bytes. */
  public static final int MAX_BYTES = 16_384;

  /** Servers in one report; the entries of servers with load of one rank fit {@link #MAX_BYTES}. */
  static final int MAX_SERVERS = 200;

  /** Bound of the bytes before the loads: the name of the VM and numbers. */
  private static final int HEAD_BYTES = FieldLimits.NAME_BYTES + 64;

  private static final int COMPLETE_UNRANKED = 1;
  private static final int PARTIAL_UNRANKED = 2;
  private static final int COMPLETE = 3;
  private static final int PARTIAL = 4;
  private static final int FIELDS = 5;

  private LoadReportCodec() {}

  /**
   * Encodes a report; servers above the bound or beyond the size of a datagram are left out, those
   * with the least work first.
   */
  public static byte[] encode(Report r) {
    List<byte[]> servers = new ArrayList<>();
    int bytes = HEAD_BYTES;
    for (Map.Entry<String, Load> e : busiestFirst(r.loads())) {
      byte[] server = Datagrams.encode(p -> packServer(p, e.getKey(), e.getValue()));
      bytes += server.length;
      if (servers.size() >= MAX_SERVERS || bytes > MAX_BYTES) {
        break;
      }
      servers.add(server);
    }
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(FIELDS).packInt(r.partial() ? PARTIAL : COMPLETE).packString(r.vm());
          p.packLong(r.startedMs()).packLong(r.sequence());
          p.packMapHeader(servers.size());
          for (byte[] server : servers) {
            p.writePayload(server);
          }
        });
  }

  private static List<Map.Entry<String, Load>> busiestFirst(Map<String, Load> loads) {
    return loads.entrySet().stream()
        .sorted(Comparator.comparingLong(e -> -e.getValue().residentTokens()))
        .toList();
  }

  private static void packServer(MessageBufferPacker p, String incarnation, Load load)
      throws IOException {
    p.packString(incarnation);
    List<RankLoad> ranks = load.ranks();
    p.packArrayHeader((int) ranks.stream().filter(l -> !l.equals(RankLoad.NONE)).count());
    for (int rank = 0; rank < ranks.size(); rank++) {
      RankLoad l = ranks.get(rank);
      if (!l.equals(RankLoad.NONE)) {
        p.packArrayHeader(4).packInt(rank).packInt(l.inFlight());
        p.packLong(l.prefillTokens()).packLong(l.residentTokens());
      }
    }
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
          if (fields != FIELDS || format < COMPLETE_UNRANKED || format > PARTIAL) {
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
            loads.put(
                incarnation, format >= COMPLETE ? rankedLoad(f) : unrankedLoad(f, incarnation));
          }
          boolean partial = format == PARTIAL || format == PARTIAL_UNRANKED;
          return new Report(vm, startedMs, sequence, Map.copyOf(loads), partial);
        });
  }

  private static Load unrankedLoad(FieldReader f, String incarnation)
      throws IOException, MalformedResponseException {
    if (f.header() != 3) {
      throw new MalformedResponseException("malformed load of " + incarnation);
    }
    return new Load(f.count(), f.size(), f.size());
  }

  private static Load rankedLoad(FieldReader f) throws IOException, MalformedResponseException {
    int count = f.header();
    Map<Integer, RankLoad> ranks = new HashMap<>();
    for (int i = 0; i < count; i++) {
      int fields = f.header();
      int rank = f.count();
      if (fields != 4 || rank >= UrgencyRank.COUNT) {
        throw new MalformedResponseException("malformed load of rank " + rank);
      }
      ranks.put(rank, new RankLoad(f.count(), f.size(), f.size()));
    }
    return new Load(ranks);
  }
}
