package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.suspect.PartReport;
import org.cowslipyoke.suspect.PartSuspects;
import org.cowslipyoke.suspect.SuspectReport;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class PartReportCodecTest {

  static final PartReport REPORT =
      new PartReport(
          Map.of("s1@1", List.of(new CrashedRun(-7, 40, 3), new CrashedRun(9, 0, 0))),
          Map.of(Long.MIN_VALUE, 0L, 5L, 70L));

  @Test
  void reportsSurviveTheirDatagram() throws Exception {
    byte[] bytes = PartReportCodec.encode(REPORT);
    assertTrue(PartReportCodec.isReport(bytes, bytes.length));
    assertEquals(REPORT, PartReportCodec.decode(bytes, bytes.length));
  }

  /** Guards against reports of one kind being read as the other. */
  @Test
  void reportsOfRequestsAreToldApart() {
    byte[] requests = SuspectReportCodec.encode(new SuspectReport(Map.of(), List.of(), Map.of()));
    assertFalse(PartReportCodec.isReport(requests, requests.length));
    byte[] parts = PartReportCodec.encode(REPORT);
    assertFalse(SuspectReportCodec.isReport(parts, parts.length));
  }

  /** Guards against a datagram that is larger than what the receiver reads. */
  @Test
  void largestReportFits() {
    ManualClock clock = new ManualClock();
    clock.advance(100_000);
    PartSuspects parts = new CrashSuspects(clock).parts();
    List<Long> many = LongStream.range(0, 1_000).map(i -> Long.MIN_VALUE + i).boxed().toList();
    for (int i = 0; i < 2 * PartSuspects.MIN_CRASHES; i++) {
      for (long part : many) {
        String server = "i-0123456789@1767844358695-" + i + part;
        parts.recordLoss(List.of(part), server, clock.nowMs() - 90_000);
      }
    }
    parts.recordBegun(many.subList(0, 500));
    byte[] bytes = PartReportCodec.encode(parts.nextReport().orElseThrow());
    assertTrue(bytes.length <= LoadReportCodec.MAX_BYTES, bytes.length + " bytes");
  }

  /** Guards against a receiver that ends because of bytes that are no report. */
  @Test
  void otherBytesAreMalformed() {
    byte[] good = PartReportCodec.encode(REPORT);
    for (int n = 0; n < good.length; n++) {
      int length = n;
      assertThrows(
          MalformedResponseException.class,
          () -> PartReportCodec.decode(good, length),
          "length " + n);
    }
    long seed = 42;
    Random random = new Random(seed);
    for (int i = 0; i < 10_000; i++) {
      byte[] bytes = Arrays.copyOf(good, good.length);
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        PartReportCodec.decode(bytes, bytes.length);
      } catch (MalformedResponseException e) {
        assertFalse(String.valueOf(e.getMessage()).isEmpty());
      }
    }
  }
}
