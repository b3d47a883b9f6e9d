package org.cowslipyoke.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cowslipyoke.util.MalformedResponseException;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into complete events, so that the caller gets no partial
 * event if a server stops within one. Events must have increasing ids; events without an id are
 * malformed.
 */
final class EventSplitter {

  /** Maximum size of one event in bytes; the events of engines have a few hundred. */
  static final int MAX_EVENT_BYTES = 256 << 10;

  private static final class Buffer extends ByteArrayOutputStream {

    int byteAt(int i) {
      return i < 0 ? -1 : buf[i];
    }
  }

  private final Buffer open = new Buffer();
  private @Nullable String lastId;

  /**
   * Creates a splitter.
   *
   * @param lastId id of the event after which the stream is resumed, null if it starts from the
   *     beginning
   */
  EventSplitter(@Nullable String lastId) {
    this.lastId = lastId;
  }

  /**
   * Appends bytes and returns the events that are now complete, empty if none.
   *
   * @throws MalformedResponseException if an event is too long, has no id, or has an id that is not
   *     after the last one
   */
  byte[] add(ByteBuffer bytes) throws MalformedResponseException {
    byte[] b = new byte[bytes.remaining()];
    bytes.get(b);
    int end = lastEventEnd(b);
    if (end == 0) {
      open.writeBytes(b);
      if (open.size() > MAX_EVENT_BYTES) {
        throw new MalformedResponseException("an event exceeds " + MAX_EVENT_BYTES + " bytes");
      }
      return new byte[0];
    }
    open.write(b, 0, end);
    byte[] whole = open.toByteArray();
    open.reset();
    open.write(b, end, b.length - end);
    checkIds(new String(whole, StandardCharsets.ISO_8859_1));
    return whole;
  }

  /** Returns whether the stream ended within an event; line ends after the last event are none. */
  boolean isWithinEvent() {
    for (byte b : open.toByteArray()) {
      if (b != '\n' && b != '\r') {
        return true;
      }
    }
    return false;
  }

  /** Returns the id of the last complete event, null if there is none. */
  @Nullable String lastId() {
    return lastId;
  }

  /** Returns the position after the last blank line that ends in {@code b}, 0 if there is none. */
  private int lastEventEnd(byte[] b) {
    for (int i = b.length - 1; i >= 0; i--) {
      if (b[i] == '\n') {
        int before = byteAt(b, i - 1);
        if (before == '\n' || (before == '\r' && byteAt(b, i - 2) == '\n')) {
          return i + 1;
        }
      }
    }
    return 0;
  }

  /**
   * Returns a byte of {@code b} or, for a negative index, of the incomplete event before it; -1 if
   * there is none.
   */
  private int byteAt(byte[] b, int i) {
    if (i >= 0) {
      return b[i];
    }
    return open.byteAt(open.size() + i);
  }

  private void checkIds(String events) throws MalformedResponseException {
    String id = null;
    boolean fields = false;
    for (String line : events.split("\r?\n", -1)) {
      if (line.startsWith("id:")) {
        id = line.substring(3).trim();
      } else if (line.isEmpty()) {
        if (id != null) {
          checkOrder(id);
        } else if (fields) {
          throw new MalformedResponseException("an event has no id");
        }
        id = null;
        fields = false;
      } else if (!line.startsWith(":")) {
        fields = true;
      }
    }
  }

  private void checkOrder(String id) throws MalformedResponseException {
    if (lastId != null && !isAfter(id, lastId)) {
      throw new MalformedResponseException("an event does not come after the last one");
    }
    lastId = id;
  }

  private static boolean isAfter(String id, String last) {
    try {
      return Long.parseLong(id) > Long.parseLong(last);
    } catch (NumberFormatException e) {
      return !id.equals(last);
    }
  }
}
