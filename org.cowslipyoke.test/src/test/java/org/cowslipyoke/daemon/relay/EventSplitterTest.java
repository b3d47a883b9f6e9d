package org.cowslipyoke.daemon.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {

  private static String add(EventSplitter s, String text) throws MalformedResponseException {
    return new String(s.add(ByteBuffer.wrap(text.getBytes(ISO_8859_1))), ISO_8859_1);
  }

  /** Guards against a half event that reaches the caller, wherever the bytes are divided. */
  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n"})
  void eventsAreWholeWhereverTheyAreDivided(String end) throws MalformedResponseException {
    String all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".replace("\n", end);
    for (int i = 0; i <= all.length(); i++) {
      EventSplitter s = new EventSplitter(null);
      String got = add(s, all.substring(0, i));
      assertEquals(all.substring(0, got.length()), got);
      assertEquals(true, got.isEmpty() || got.endsWith(end + end), got);
      assertEquals(all, got + add(s, all.substring(i)));
      assertEquals("2", s.lastId());
    }
  }

  /** Guards against events that come twice, and against bytes that are no events. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 2\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 5\ndata: a\n\nid: 4\ndata: b\n\n",
        "id: 1\ndata: a\n\n",
        "data: a\n\n",
        "no event\n\n"
      })
  void eventsWithoutIncreasingIdsAreMalformed(String events) {
    EventSplitter s = new EventSplitter("1");
    assertThrows(MalformedResponseException.class, () -> add(s, events));
  }

  @Test
  void commentsAndFurtherFieldsArePassedOn() throws MalformedResponseException {
    String events = ": still here\n\nx-versions: 3\nid: 7\ndata: a\n\n";
    assertEquals(events, add(new EventSplitter("6"), events));
  }

  /** Guards against an event without end that uses up the memory. */
  @Test
  void eventWithoutEndIsMalformed() throws MalformedResponseException {
    EventSplitter s = new EventSplitter(null);
    String part = "x".repeat(EventSplitter.MAX_EVENT_BYTES);
    assertEquals("", add(s, part));
    assertThrows(MalformedResponseException.class, () -> add(s, "x"));
  }
}
