package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.rollout.RolloutReport;
import org.cowslipyoke.rollout.RolloutReport.ServiceReport;
import org.cowslipyoke.rollout.Series;
import org.cowslipyoke.rollout.Tally;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class RolloutReportCodecTest {

  static RolloutReport report(int series) {
    Map<Series, Tally> tallies = new HashMap<>();
    for (int i = 0; i < series; i++) {
      long[] times = new long[Tally.BUCKETS];
      Arrays.fill(times, 12, 24, 1_000 + i);
      tallies.put(new Series("route-" + i, "i-7f3a91c2@1700000000000"), new Tally(9, 2, times));
    }
    return new RolloutReport(
        "edge-santarem-1",
        1_700_000_000_000L,
        7,
        412,
        51_230,
        true,
        List.of(new ServiceReport("s", 40_000, 2, "", 4_000, 90, 3, tallies)));
  }

  @Test
  void reportIsDecodedAsItWasEncoded() throws Exception {
    RolloutReport r = report(3);
    byte[] bytes = RolloutReportCodec.encode(r);
    assertTrue(RolloutReportCodec.isReport(bytes, bytes.length));
    RolloutReport d = RolloutReportCodec.decode(bytes, bytes.length);
    assertEquals(r.tableVersion(), d.tableVersion());
    assertEquals(r.asOfMs(), d.asOfMs());
    ServiceReport s = d.services().get(0);
    assertEquals(90, s.targetRequests());
    assertEquals(3, s.oldInFlight());
    s.tallies()
        .forEach(
            (series, t) -> {
              Tally sent = r.services().get(0).tallies().getOrDefault(series, new Tally());
              assertEquals(sent.answers(), t.answers());
              assertEquals(sent.failures(), t.failures());
              for (int i = 0; i < Tally.BUCKETS; i++) {
                assertEquals(sent.time(i), t.time(i));
              }
            });
    assertEquals(3, s.tallies().size());
  }

  /** Guards against reports that a receiver can't read because they exceed its buffer. */
  @Test
  void largestReportFitsDatagram() {
    assertTrue(RolloutReportCodec.encode(report(40)).length <= LoadReportCodec.MAX_BYTES);
  }

  /** Guards against an exception that would end the reception of all reports. */
  @Test
  void truncatedReportsAreRejected() {
    byte[] bytes = RolloutReportCodec.encode(report(2));
    assertFalse(RolloutReportCodec.isReport(new byte[] {(byte) 0x95}, 1));
    for (int length = 9; length < bytes.length; length++) {
      int n = length;
      assertThrows(
          MalformedResponseException.class, () -> RolloutReportCodec.decode(bytes, n), "" + n);
    }
  }
}
