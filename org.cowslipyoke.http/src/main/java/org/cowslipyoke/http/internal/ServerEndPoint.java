package org.cowslipyoke.http.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to a server that may violate the protocol.
 *
 * <p>Jetty treats a connection that was reset, or closed at this end, as one that ended regularly,
 * so that a response without a length looks complete. It reads heads of any size, and it treats
 * unsolicited bytes as the beginning of the response to the next request. This class reports the
 * first two as failures, limits the size of responses, and closes a connection on which unsolicited
 * bytes arrive.
 */
final class ServerEndPoint extends SocketChannelEndPoint {

  /**
   * Maximum number of bytes of a response that are neither content nor chunk framing within {@link
   * #FRAMING_FRACTION}: heads, interim responses, trailers. Heads usually have some hundred bytes.
   */
  static final long MAX_OVERHEAD_BYTES = 64 << 10;

  /** Maximum size of chunk framing as a fraction of the content; 20 bytes of content have 6. */
  static final double FRAMING_FRACTION = 0.5;

  /**
   * Maximum number of request ids that a connection excludes, the latest ones. A request is
   * repeated within its deadline, so earlier ones are not sent again.
   */
  static final int MAX_EXCLUDED = 256;

  private final long maxResponseBytes;
  private final Set<Integer> excludedIds = new LinkedHashSet<>();
  private final AtomicLong responseBytes = new AtomicLong();
  private final AtomicLong contentBytes = new AtomicLong();
  private final Object lock = new Object();
  private final long openedNanos = System.nanoTime();
  private boolean used;
  private boolean responseComplete;
  private int bodyBytes;
  private long writtenBytes;
  private boolean allWritten;
  private volatile boolean ended;

  ServerEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      long maxResponseBytes) {
    super(channel, selector, key, scheduler);
    this.maxResponseBytes = maxResponseBytes;
  }

  /**
   * Records that the response is complete: bytes before the next request are unsolicited. The
   * connection remains in use until the request is written too, since a server may respond before
   * it has read the whole request.
   *
   * @param bodyBytes length of the body of the request
   */
  void onResponseComplete(int bodyBytes) {
    synchronized (lock) {
      responseComplete = true;
      this.bodyBytes = bodyBytes;
    }
  }

  private void beginExchange() {
    used = true;
    responseComplete = false;
    responseBytes.set(0);
    contentBytes.set(0);
    writtenBytes = 0;
    allWritten = false;
  }

  /**
   * Returns whether a request with a body of the given length has been written completely. Jetty
   * writes the head and the beginning of the body together.
   */
  boolean isRequestWritten(int bodyBytes) {
    synchronized (lock) {
      return allWritten && writtenBytes > bodyBytes;
    }
  }

  /** Returns the time since the connection was opened, in milliseconds. */
  long ageMs() {
    return (System.nanoTime() - openedNanos) / 1_000_000;
  }

  /** Excludes a request id from this connection. */
  void exclude(String requestId) {
    synchronized (excludedIds) {
      excludedIds.add(requestId.hashCode());
      if (excludedIds.size() > MAX_EXCLUDED) {
        excludedIds.remove(excludedIds.iterator().next());
      }
    }
  }

  /**
   * Returns whether a request must use another connection. Ids are compared by their hash codes,
   * since a collision only costs a connection.
   */
  boolean isExcluded(String requestId) {
    synchronized (excludedIds) {
      return excludedIds.contains(requestId.hashCode());
    }
  }

  /** Counts bytes of the response as content. */
  void countContent(int bytes) {
    contentBytes.addAndGet(bytes);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (ended) {
      return -1;
    }
    if (isInputShutdown()) {
      throw new ClosedChannelException();
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (filled > 0) {
      notIdle();
      checkBounds(filled);
    } else if (filled == -1) {
      shutdownInput();
    }
    return filled;
  }

  /**
   * Reads from the channel. Unless a response is expected, a reset or unsolicited bytes are treated
   * as the regular end of the connection.
   */
  private int read(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      boolean responseExpected = used && !responseComplete;
      int start = buffer.position();
      int n;
      try {
        n = getChannel().read(buffer);
      } catch (IOException e) {
        if (responseExpected) {
          throw e;
        }
        n = -1;
      }
      if (n > 0 && !responseExpected) {
        buffer.position(start);
        n = -1;
      }
      ended = n < 0;
      return n;
    }
  }

  private void checkBounds(int filled) throws IOException {
    long bytes = responseBytes.addAndGet(filled);
    long max = Math.round(MAX_OVERHEAD_BYTES + (1 + FRAMING_FRACTION) * contentBytes.get());
    if (bytes > Math.min(max, maxResponseBytes)) {
      throw new IOException("response exceeds its maximum size: read " + bytes + " bytes");
    }
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    synchronized (lock) {
      if (!used) {
        beginExchange();
      } else if (responseComplete && isRequestWritten(bodyBytes)) {
        checkIdleConnection();
        beginExchange();
      }
      long before = BufferUtil.remaining(buffers);
      allWritten = super.flush(buffers);
      writtenBytes += before - BufferUtil.remaining(buffers);
      return allWritten;
    }
  }

  /** Fails if the idle connection has ended or unsolicited bytes have arrived on it. */
  private void checkIdleConnection() throws IOException {
    if (ended || !isOpen() || isInputShutdown()) {
      throw new NotSentException("idle connection was closed", null);
    }
    int n;
    try {
      n = getChannel().read(ByteBuffer.allocate(1));
    } catch (IOException e) {
      throw new NotSentException("server reset its idle connection", e);
    }
    if (n != 0) {
      String what = n < 0 ? "closed its idle connection" : "sent unsolicited bytes";
      throw new NotSentException("server " + what, null);
    }
  }
}
