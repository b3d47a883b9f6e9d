package org.cowslipyoke.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into whole events, so that a server that stops in the
 * middle of one leaves no part of it with the caller.
 */
final class EventSplitter {

  /** Bytes of one event that are kept; a longer event is passed on in pieces. */
  static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream open = new ByteArrayOutputStream();
  private @Nullable String lastId;

  /** Takes bytes and returns the whole events that they complete, empty if none. */
  byte[] add(ByteBuffer bytes) {
    byte[] b = new byte[bytes.remaining()];
    bytes.get(b);
    open.writeBytes(b);
    byte[] all = open.toByteArray();
    int end = all.length > MAX_EVENT_BYTES ? all.length : endOfLastEvent(all);
    if (end == 0) {
      return new byte[0];
    }
    byte[] whole = Arrays.copyOf(all, end);
    open.reset();
    open.write(all, end, all.length - end);
    noteIds(whole);
    return whole;
  }

  /** Returns the bytes of an event that was not completed. */
  byte[] rest() {
    return open.toByteArray();
  }

  /** Returns the id of the last whole event, null if none had one. */
  @Nullable String lastId() {
    return lastId;
  }

  private static int endOfLastEvent(byte[] b) {
    for (int i = b.length - 1; i > 0; i--) {
      boolean blankLine = b[i] == '\n' && (b[i - 1] == '\n' || isCrLfBefore(b, i));
      if (blankLine) {
        return i + 1;
      }
    }
    return 0;
  }

  private static boolean isCrLfBefore(byte[] b, int i) {
    return i > 1 && b[i - 1] == '\r' && b[i - 2] == '\n';
  }

  private void noteIds(byte[] events) {
    String text = new String(events, StandardCharsets.ISO_8859_1);
    int start = text.lastIndexOf("\nid:") + 1;
    if (text.startsWith("id:", start)) {
      int end = text.indexOf('\n', start);
      lastId = text.substring(start + 3, end < 0 ? text.length() : end).trim();
    }
  }
}
