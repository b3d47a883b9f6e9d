package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import org.cowslipyoke.ratelimit.RateReport;
import org.cowslipyoke.ratelimit.RateReport.Demand;
import org.cowslipyoke.ratelimit.RateReport.Grant;
import org.cowslipyoke.ratelimit.RateReport.Statement;
import org.cowslipyoke.relay.ServerNotice;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class RateReportCodecTest {

  private static final String INCARNATION = "i-0123456789@1767844358695";

  private static RateReport report(int n) {
    return new RateReport(
        "edge-1",
        Collections.nCopies(n, new Statement(INCARNATION, 2.3, 40)),
        Collections.nCopies(n, new Demand(INCARNATION, 7, 1)),
        Collections.nCopies(n, new Grant(INCARNATION, 2)));
  }

  @Test
  void reportsSurviveTheirDatagram() throws Exception {
    RateReport ended =
        new RateReport(
            "edge-1",
            List.of(new Statement(INCARNATION, ServerNotice.NO_RATE, 0)),
            List.of(),
            List.of());
    for (RateReport r : List.of(ended, report(0), report(3))) {
      byte[] bytes = RateReportCodec.encode(r);
      assertTrue(RateReportCodec.isReport(bytes, bytes.length));
      assertEquals(r, RateReportCodec.decode(bytes, bytes.length));
    }
  }

  /** Guards against a datagram that is larger than what the receiver reads. */
  @Test
  void largestReportFits() {
    byte[] bytes = RateReportCodec.encode(report(RateReport.MAX_ELEMENTS));
    assertTrue(bytes.length <= LoadReportCodec.MAX_BYTES, bytes.length + " bytes");
  }

  /** Guards against a receiver that ends because of bytes that are no report. */
  @Test
  void otherBytesAreMalformed() {
    byte[] good = RateReportCodec.encode(report(2));
    for (int n = 0; n < good.length; n++) {
      int length = n;
      assertThrows(
          MalformedResponseException.class, () -> RateReportCodec.decode(good, length), "" + n);
    }
    byte[] tooMany = RateReportCodec.encode(report(RateReport.MAX_ELEMENTS + 1));
    assertThrows(
        MalformedResponseException.class, () -> RateReportCodec.decode(tooMany, tooMany.length));
    RateReport negative =
        new RateReport("e", List.of(new Statement(INCARNATION, -1, 0)), List.of(), List.of());
    byte[] bytes = RateReportCodec.encode(negative);
    assertThrows(
        MalformedResponseException.class, () -> RateReportCodec.decode(bytes, bytes.length));
  }
}
