package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.cowslipyoke.refresh.TableConfirmation;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.transport.TableConfirmationCodec.Message;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class TableConfirmationCodecTest {

  static final Message MESSAGE = new Message("e1", new TableConfirmation("servers", -7, 12_345));

  @Test
  void messagesAreDecodedAsEncoded() throws Exception {
    byte[] b = TableConfirmationCodec.encode(MESSAGE);
    assertTrue(TableConfirmationCodec.isConfirmation(b, b.length));
    assertEquals(MESSAGE, TableConfirmationCodec.decode(b, b.length));
  }

  /** The formats share a port, so each must be told from the others. */
  @Test
  void otherReportsAreNoConfirmations() {
    byte[] loads = LoadReportCodec.encode(new Report("e1", 1, 1, Map.of()));
    assertFalse(TableConfirmationCodec.isConfirmation(loads, loads.length));
    byte[] b = TableConfirmationCodec.encode(MESSAGE);
    assertThrows(MalformedResponseException.class, () -> LoadReportCodec.decode(b, b.length));
  }

  @Test
  void truncatedMessagesAreRejected() {
    byte[] b = TableConfirmationCodec.encode(MESSAGE);
    for (int i = 0; i < b.length - 1; i++) {
      int length = i;
      assertThrows(
          MalformedResponseException.class,
          () -> TableConfirmationCodec.decode(b, length),
          () -> "length " + length);
    }
  }
}
