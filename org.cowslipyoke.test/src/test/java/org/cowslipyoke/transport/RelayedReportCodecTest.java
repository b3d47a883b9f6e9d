package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class RelayedReportCodecTest {

  private final byte[] report =
      LoadReportCodec.encode(new Report("vm", 1, 2, Map.of("s@1", new Load(1, 2, 3))));

  @Test
  void relayedReportAndConfirmationAreDecoded() throws Exception {
    byte[] relayed = RelayedReportCodec.encode(7, report);
    assertTrue(RelayedReportCodec.isRelayed(relayed, relayed.length));
    RelayedReportCodec.Message m = RelayedReportCodec.decode(relayed, relayed.length);
    assertFalse(m.confirmation());
    assertEquals(7, m.token());
    assertArrayEquals(report, m.report());
    byte[] confirmation = RelayedReportCodec.encodeConfirmation(7);
    assertTrue(RelayedReportCodec.decode(confirmation, confirmation.length).confirmation());
  }

  /** Guards against taking a report of the earlier format for a relayed one, and the reverse. */
  @Test
  void reportsOfTheEarlierFormatAreTold() {
    assertFalse(RelayedReportCodec.isRelayed(report, report.length));
    byte[] relayed = RelayedReportCodec.encode(7, report);
    assertThrows(
        MalformedResponseException.class, () -> LoadReportCodec.decode(relayed, relayed.length));
  }

  /** Guards against reports that are passed on in a loop, and against another version's format. */
  @Test
  void nestedAndUnknownReportsAreRejected() {
    byte[] nested = RelayedReportCodec.encode(1, RelayedReportCodec.encode(2, report));
    assertThrows(
        MalformedResponseException.class, () -> RelayedReportCodec.decode(nested, nested.length));
    byte[] later = RelayedReportCodec.encode(1, report);
    later[1] = 2;
    assertThrows(
        MalformedResponseException.class, () -> RelayedReportCodec.decode(later, later.length));
    assertThrows(MalformedResponseException.class, () -> RelayedReportCodec.decode(later, 3));
  }
}
