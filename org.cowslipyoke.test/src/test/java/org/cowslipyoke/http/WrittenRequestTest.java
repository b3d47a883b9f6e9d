package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests whether a request counts as written if its server resets the connection. */
@Timeout(30)
class WrittenRequestTest {

  private final HttpClient client =
      HttpConnector.startClient("", HttpConnector.Limits.defaults(), threads(), 10_000);

  private static QueuedThreadPool threads() {
    QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    threads.setDaemon(true);
    return threads;
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
  }

  /** Accepts one connection, reads the given number of bytes of its request and resets it. */
  private static CompletableFuture<Void> resetAfter(ServerSocket listener, int bytes) {
    return CompletableFuture.runAsync(
        () -> {
          try (Socket s = listener.accept()) {
            s.getInputStream().readNBytes(bytes);
            s.setSoLinger(true, 0);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private Request request(ServerSocket listener, int bodyBytes) {
    return client
        .newRequest("127.0.0.1", listener.getLocalPort())
        .method("POST")
        .path("/x")
        .body(new BytesRequestContent(new byte[bodyBytes]));
  }

  private static boolean isWritten(Request r, int bodyBytes) throws Exception {
    CompletableFuture<Result> done = new CompletableFuture<>();
    r.send(done::complete);
    assertTrue(done.get(10, TimeUnit.SECONDS).isFailed());
    return HttpConnector.isWritten(r, bodyBytes);
  }

  /** Guards against losing a crash whose reset is reported before the end of the writing. */
  @Test
  void requestIsWrittenAlthoughItsResetIsReportedFirst() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CountDownLatch failed = new CountDownLatch(1);
      CompletableFuture<Void> reset = resetAfter(listener, 100);
      Request r =
          request(listener, 4)
              .onRequestCommit(x -> await(failed))
              .onResponseFailure((x, e) -> failed.countDown());
      assertTrue(isWritten(r, 4));
      reset.get(10, TimeUnit.SECONDS);
    }
  }

  private static void await(CountDownLatch failed) {
    try {
      assertTrue(failed.await(10, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against counting a crash for a request that its server can't have run. */
  @Test
  void requestIsNotWrittenIfItsBodyIsCutOff() throws Exception {
    int bodyBytes = 32 << 20;
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Void> reset = resetAfter(listener, 10_000);
      assertFalse(isWritten(request(listener, bodyBytes), bodyBytes));
      reset.get(10, TimeUnit.SECONDS);
    }
  }
}
