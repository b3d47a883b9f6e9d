package org.cowslipyoke.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a connection that has refused a request takes no other one with its id. */
@Timeout(30)
class ExcludedIdTest {

  private final HttpClient client =
      HttpConnector.startClient(
          "", new HttpConnector.Limits(1, 64, 1_000, 1 << 20), threads(), 10_000);
  private final CountDownLatch release = new CountDownLatch(1);
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final ServerSocket listener = newListener();

  private static QueuedThreadPool threads() {
    QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    threads.setDaemon(true);
    return threads;
  }

  private static ServerSocket newListener() {
    try {
      return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @BeforeEach
  void start() {
    daemon(
        () -> {
          while (true) {
            Socket s = listener.accept();
            daemon(() -> serve(s));
          }
        });
  }

  @AfterEach
  void stop() throws Exception {
    listener.close();
    client.stop();
  }

  private interface Task {
    void run() throws Exception;
  }

  private static void daemon(Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The client or the listener was closed.
              }
            });
    t.setDaemon(true);
    t.start();
  }

  /** Refuses each request; the one with the path {@code /held} only after its release. */
  private void serve(Socket s) throws Exception {
    InputStream in = s.getInputStream();
    for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
      received.add(s.getPort() + " " + head.split(" ", 3)[1]);
      if (head.startsWith("GET /held")) {
        release.await();
      }
      s.getOutputStream().write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".getBytes(ISO_8859_1));
    }
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      head.write(b);
      if (b == '\n' && head.toString(ISO_8859_1).endsWith("\r\n\r\n")) {
        return head.toString(ISO_8859_1);
      }
    }
    return "";
  }

  private Request request(String id) {
    return client
        .newRequest("127.0.0.1", listener.getLocalPort())
        .path("/" + id)
        .headers(h -> h.put("X-Request-Id", id));
  }

  private static Result send(Request r) throws Exception {
    CompletableFuture<Result> done = new CompletableFuture<>();
    r.send(done::complete);
    return done.get(10, TimeUnit.SECONDS);
  }

  /** Guards against a request that is assigned a connection before its queueing is notified. */
  @Test
  void requestThatIsSentWhileItIsQueuedUsesAnotherConnection() throws Exception {
    send(request("same"));
    request("held").send(result -> {});
    while (received.size() < 2) {
      Thread.onSpinWait();
    }
    CountDownLatch begun = new CountDownLatch(1);
    Request repeat = request("same").onRequestBegin(r -> begun.countDown());
    repeat.onRequestQueued(
        r -> {
          release.countDown();
          awaitUninterrupted(begun);
        });
    assertTrue(HttpConnector.isNotSent(send(repeat).getFailure()));
    assertEquals(1, received.stream().filter(r -> r.endsWith(" /same")).count());
  }

  /** Guards against requests that are given up because all connections have refused many others. */
  @Test
  void newRequestIsSentAfterManyRefusals() throws Exception {
    for (int i = 0; i < 1_000; i++) {
      Result r = send(request("r" + i));
      assertEquals(null, r.getFailure(), "r" + i);
    }
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      assertTrue(latch.await(10, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
