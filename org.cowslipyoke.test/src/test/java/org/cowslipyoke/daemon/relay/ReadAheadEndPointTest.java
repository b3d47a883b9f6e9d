package org.cowslipyoke.daemon.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of the bytes that reach Jetty while the end point reads ahead. */
@Timeout(30)
class ReadAheadEndPointTest {

  /** A connection whose read interest fires in another thread while Jetty reads. */
  private static final class ConcurrentInput extends ByteArrayEndPoint {

    /** Number of bytes that one read returns. */
    private static final int READ_BYTES = 4;

    private final AtomicReference<Callback> interest = new AtomicReference<>();
    private final ByteBuffer input;

    ConcurrentInput(String input) {
      this.input = BufferUtil.toBuffer(input);
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
      return interest.compareAndSet(null, callback);
    }

    @Override
    public int fill(ByteBuffer buffer) {
      Callback ready = interest.getAndSet(null);
      if (ready != null) {
        Thread selector = new Thread(ready::succeeded, "selector");
        selector.start();
        awaitEndOrBlocked(selector);
      }
      return read(buffer);
    }

    private synchronized int read(ByteBuffer buffer) {
      ByteBuffer part = input.slice();
      part.limit(Math.min(READ_BYTES, input.remaining()));
      int n = BufferUtil.append(buffer, part);
      input.position(input.position() + n);
      return n;
    }

    private static void awaitEndOrBlocked(Thread t) {
      while (t.isAlive() && t.getState() != Thread.State.BLOCKED) {
        Thread.onSpinWait();
      }
    }
  }

  /**
   * Guards against passing on the bytes of a request in the wrong order: the body of one request
   * was taken for other requests, which servers then ran.
   */
  @Test
  void bytesReadByTwoThreadsKeepTheirOrder() throws IOException {
    String sent = "POST /a HTTP/1.1 and its body";
    ReadAheadEndPoint e = new ReadAheadEndPoint(new ConcurrentInput(sent));
    e.watch(() -> {});
    StringBuilder received = new StringBuilder();
    while (received.length() < sent.length()) {
      ByteBuffer b = BufferUtil.allocate(64);
      assertTrue(e.fill(b) >= 0);
      received.append(BufferUtil.toString(b, ISO_8859_1));
    }
    assertEquals(sent, received.toString());
  }

  /** A connection whose selector is too busy to report what has been received. */
  private static final class BusySelector extends ByteArrayEndPoint {
    @Override
    public boolean tryFillInterested(Callback callback) {
      return true;
    }
  }

  /**
   * Guards against passing on requests that were read late, after their callers had closed their
   * connections: an entry that had just started sent 44 of them.
   */
  @Test
  void receivedDisconnectIsReportedAtOnce() {
    BusySelector s = new BusySelector();
    s.addInputEOF();
    ReadAheadEndPoint e = new ReadAheadEndPoint(s);
    AtomicInteger left = new AtomicInteger();
    e.watch(left::incrementAndGet);
    assertEquals(1, left.get());
  }

  /** Guards against taking a caller that waits for its response for one that left. */
  @Test
  void waitingCallerHasNotLeft() throws IOException {
    BusySelector s = new BusySelector();
    ReadAheadEndPoint e = new ReadAheadEndPoint(s);
    AtomicInteger left = new AtomicInteger();
    e.watch(left::incrementAndGet);
    assertEquals(0, left.get());
    s.addInput("GET /next");
    ByteBuffer b = BufferUtil.allocate(64);
    assertEquals(9, e.fill(b));
  }
}
