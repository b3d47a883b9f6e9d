package org.cowslipyoke.transport;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.RankLoad;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.relay.UrgencyRank;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class LoadReportCodecTest {

  static final Report REPORT = new Report("e1", 5, 7, Map.of("s1@1", new Load(3, 9_000, 40_000)));

  @Test
  void reportsSurviveTheirDatagram() throws Exception {
    byte[] bytes = LoadReportCodec.encode(REPORT);
    assertEquals(REPORT, LoadReportCodec.decode(bytes, bytes.length));
    Load ranked = new Load(Map.of(1, new RankLoad(1, 2, 3), 7, new RankLoad(4, 5, 6)));
    Report ranks = new Report("e1", 5, 7, Map.of("s1@1", ranked));
    byte[] ranksBytes = LoadReportCodec.encode(ranks);
    assertEquals(ranks, LoadReportCodec.decode(ranksBytes, ranksBytes.length));
    Report partial = new Report("e1", 5, 8, Map.of("s1@1", Load.NONE), true);
    byte[] partialBytes = LoadReportCodec.encode(partial);
    assertEquals(partial, LoadReportCodec.decode(partialBytes, partialBytes.length));
  }

  /** Guards against a datagram that is larger than what the receiver reads. */
  @Test
  void largestReportFitsAndKeepsTheBusiestServers() throws Exception {
    Map<String, Load> loads = new HashMap<>();
    for (int i = 0; i < 3_100; i++) {
      loads.put("i-0123456789@1767844358695-" + i, new Load(i, Integer.MAX_VALUE, 70_000L + i));
    }
    byte[] bytes = LoadReportCodec.encode(new Report("entry", 1, 1, loads));
    assertTrue(bytes.length <= LoadReportCodec.MAX_BYTES, bytes.length + " bytes");
    Report r = LoadReportCodec.decode(bytes, bytes.length);
    assertEquals(LoadReportCodec.MAX_SERVERS, r.loads().size());
    assertTrue(r.loads().containsKey("i-0123456789@1767844358695-3099"));
    assertFalse(r.loads().containsKey("i-0123456789@1767844358695-0"));
  }

  /** Guards against a datagram that loads of several ranks make too large. */
  @Test
  void largestReportOfAllRanksFits() throws Exception {
    Map<String, Load> loads = new HashMap<>();
    RankLoad rank = new RankLoad(100, Integer.MAX_VALUE, 70_000);
    for (int i = 0; i < 400; i++) {
      loads.put(
          "i-0123456789@1767844358695-" + i,
          new Load(Collections.nCopies(UrgencyRank.COUNT, rank)));
    }
    byte[] bytes = LoadReportCodec.encode(new Report("entry", 1, 1, loads));
    assertTrue(bytes.length <= LoadReportCodec.MAX_BYTES, bytes.length + " bytes");
    assertTrue(LoadReportCodec.decode(bytes, bytes.length).loads().size() > 50);
  }

  /** Guards against ignoring entries that still run the version before ranks of urgency. */
  @Test
  void unrankedReportDelaysRequestsOfEveryRank() throws Exception {
    byte[] earlier =
        Datagrams.encode(
            p -> {
              p.packArrayHeader(5).packInt(2).packString("e1").packLong(5).packLong(7);
              p.packMapHeader(1).packString("s1@1");
              p.packArrayHeader(3).packInt(3).packLong(9_000).packLong(40_000);
            });
    Report decoded = LoadReportCodec.decode(earlier, earlier.length);
    assertEquals(new Report("e1", 5, 7, REPORT.loads(), true), decoded);
    assertEquals(9_000, requireNonNull(decoded.loads().get("s1@1")).upTo(0).prefillTokens());
  }

  /** Guards against a receiver that ends because of bytes that are no report. */
  @Test
  void otherBytesAreMalformed() {
    byte[] good = LoadReportCodec.encode(REPORT);
    for (int n = 0; n < good.length; n++) {
      int length = n;
      assertThrows(
          MalformedResponseException.class,
          () -> LoadReportCodec.decode(good, length),
          "length " + n);
    }
    long seed = 42;
    Random random = new Random(seed);
    for (int i = 0; i < 10_000; i++) {
      byte[] bytes = Arrays.copyOf(good, good.length);
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        LoadReportCodec.decode(bytes, bytes.length);
      } catch (MalformedResponseException e) {
        assertFalse(String.valueOf(e.getMessage()).isEmpty());
      }
    }
  }
}
