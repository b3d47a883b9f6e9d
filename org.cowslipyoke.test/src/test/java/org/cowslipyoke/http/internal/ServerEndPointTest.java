package org.cowslipyoke.http.internal;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the state of a connection to a server on a channel without a network. */
@Timeout(30)
class ServerEndPointTest {

  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final int BODY_BYTES = 1_000;

  private final FakeChannel channel = new FakeChannel();

  // Reading and writing use neither the selector nor its key.
  @SuppressWarnings("NullAway")
  private final ServerEndPoint endPoint =
      new ServerEndPoint(channel, null, null, new ScheduledExecutorScheduler(), MAX_RESPONSE_BYTES);

  private void completeExchange() throws IOException {
    assertTrue(endPoint.flush(BufferUtil.toBuffer("request")));
    endPoint.onResponseComplete(0);
  }

  /** Guards against taking a broken connection for one on which nothing was sent. */
  @Test
  void requestIsNotReportedAsUnsentAfterEarlyResponse() throws IOException {
    assertTrue(endPoint.flush(BufferUtil.toBuffer("head and begin of body")));
    endPoint.onResponseComplete(BODY_BYTES);
    channel.breakOff();
    IOException e =
        assertThrows(IOException.class, () -> endPoint.flush(BufferUtil.toBuffer("rest")));
    assertFalse(e instanceof NotSentException, e.toString());
  }

  /** Guards against reusing a connection that was reset while idle. */
  @Test
  void requestOnBrokenIdleConnectionIsReportedAsUnsent() throws IOException {
    completeExchange();
    channel.breakOff();
    IOException e =
        assertThrows(IOException.class, () -> endPoint.flush(BufferUtil.toBuffer("next")));
    assertInstanceOf(NotSentException.class, e);
  }

  /**
   * Guards against passing on unsolicited bytes as the begin of the next response: they were read
   * before the next request, and judged after it had begun.
   */
  @Test
  void unsolicitedBytesAreDroppedWhileRequestBegins() throws Exception {
    completeExchange();
    AtomicReference<Throwable> sendFailure = new AtomicReference<>();
    Thread sender =
        new Thread(
            () -> {
              try {
                endPoint.flush(BufferUtil.toBuffer("next"));
              } catch (IOException e) {
                sendFailure.set(e);
              }
            },
            "sender");
    channel.receive("evil".getBytes(ISO_8859_1), () -> startAndAwaitEndOrBlocked(sender));
    ByteBuffer b = BufferUtil.allocate(64);
    assertEquals(-1, endPoint.fill(b), () -> "passed on: " + BufferUtil.toString(b, ISO_8859_1));
    sender.join();
    assertInstanceOf(NotSentException.class, sendFailure.get());
  }

  /** Guards against unbounded state on a connection to a server that refuses everything. */
  @Test
  void connectionExcludesTheLatestRefusedIds() {
    for (int i = 0; i <= ServerEndPoint.MAX_EXCLUDED; i++) {
      endPoint.exclude("r" + i);
    }
    assertFalse(endPoint.isExcluded("r0"));
    assertTrue(endPoint.isExcluded("r1"));
    assertTrue(endPoint.isExcluded("r" + ServerEndPoint.MAX_EXCLUDED));
    assertFalse(endPoint.isExcluded("new"));
  }

  private static void startAndAwaitEndOrBlocked(Thread t) {
    t.start();
    while (t.isAlive() && t.getState() != Thread.State.BLOCKED) {
      Thread.onSpinWait();
    }
  }
}
