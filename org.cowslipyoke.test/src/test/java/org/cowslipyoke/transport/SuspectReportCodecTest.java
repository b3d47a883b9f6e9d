package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.suspect.SuspectReport;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class SuspectReportCodecTest {

  static final SuspectReport REPORT =
      new SuspectReport(
          Map.of("s1@1", List.of(new CrashedRun(-7, 40, 3), new CrashedRun(9, 0, 0))),
          List.of(Long.MIN_VALUE, 5L),
          Map.of("s2@1", 70L));

  @Test
  void reportsSurviveTheirDatagram() throws Exception {
    byte[] bytes = SuspectReportCodec.encode(REPORT);
    assertTrue(SuspectReportCodec.isReport(bytes, bytes.length));
    assertEquals(REPORT, SuspectReportCodec.decode(bytes, bytes.length));
  }

  /** Guards against reports of one kind being read as the other. */
  @Test
  void reportsOfLoadsAreToldApart() {
    byte[] loads = LoadReportCodec.encode(new Report("e1", 5, 7, Map.of()));
    assertFalse(SuspectReportCodec.isReport(loads, loads.length));
    byte[] suspects = SuspectReportCodec.encode(REPORT);
    assertThrows(
        MalformedResponseException.class, () -> LoadReportCodec.decode(suspects, suspects.length));
  }

  /** Guards against a datagram that is larger than what the receiver reads. */
  @Test
  void largestReportFits() {
    ManualClock clock = new ManualClock();
    CrashSuspects suspects = new CrashSuspects(clock);
    for (long i = 0; i < 2 * CrashSuspects.MAX_REQUESTS; i++) {
      long f = Long.MIN_VALUE + i;
      suspects.recordCrash(f, "i-0123456789@1767844358695-" + i, clock.nowMs() - 100_000);
      suspects.recordCrash(~f, "i-0123456789@1767844358695", clock.nowMs() - 100_000);
      suspects.recordCrash(f / 2, "i-1123456789@1767844358695-" + i, clock.nowMs() - 100_000);
      suspects.recordResponse("i-1123456789@1767844358695-" + i, clock.nowMs() + 1);
      if (i % 2 == 0) {
        suspects.completed(f);
      }
    }
    byte[] bytes = SuspectReportCodec.encode(suspects.nextReport().orElseThrow());
    assertTrue(bytes.length <= LoadReportCodec.MAX_BYTES, bytes.length + " bytes");
  }

  /** Guards against a receiver that ends because of bytes that are no report. */
  @Test
  void otherBytesAreMalformed() {
    byte[] good = SuspectReportCodec.encode(REPORT);
    for (int n = 0; n < good.length; n++) {
      int length = n;
      assertThrows(
          MalformedResponseException.class,
          () -> SuspectReportCodec.decode(good, length),
          "length " + n);
    }
    long seed = 42;
    Random random = new Random(seed);
    for (int i = 0; i < 10_000; i++) {
      byte[] bytes = Arrays.copyOf(good, good.length);
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        SuspectReportCodec.decode(bytes, bytes.length);
      } catch (MalformedResponseException e) {
        assertFalse(String.valueOf(e.getMessage()).isEmpty());
      }
    }
  }
}
