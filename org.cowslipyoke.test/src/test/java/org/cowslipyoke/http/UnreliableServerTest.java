package org.cowslipyoke.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.http.HttpConnector.BufferedResponse;
import org.cowslipyoke.http.HttpConnector.Call;
import org.cowslipyoke.http.HttpConnector.CallFailure;
import org.cowslipyoke.http.HttpConnector.FailureKind;
import org.cowslipyoke.platform.PlainService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the client with servers that stop accepting connections or send malformed responses. */
@Timeout(60)
class UnreliableServerTest {

  private static final int CONNECTIONS = 4;
  private static final int BACKLOG = 8;
  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final long CONNECT_TIMEOUT_MS = 100;

  private interface Script {
    void serve(Socket s) throws Exception;
  }

  private final HttpConnector connector =
      HttpConnector.start("test", new HttpConnector.Limits(16, 64, CONNECT_TIMEOUT_MS, 1 << 20));
  private final List<AutoCloseable> open = new ArrayList<>();

  @AfterEach
  void stop() throws Exception {
    connector.close();
    for (AutoCloseable c : open) {
      c.close();
    }
  }

  /** Starts a server that accepts only the given number of connections. */
  private ServerSocket startServer(int connections, Script script) throws IOException {
    ServerSocket l = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    open.add(l);
    Thread t =
        new Thread(
            () -> {
              for (int i = 0; i < connections; i++) {
                try {
                  Socket s = l.accept();
                  Thread c = new Thread(() -> run(script, s), "connection");
                  c.setDaemon(true);
                  c.start();
                } catch (IOException e) {
                  return;
                }
              }
            },
            "server");
    t.setDaemon(true);
    t.start();
    return l;
  }

  private static void run(Script script, Socket s) {
    try (s) {
      script.serve(s);
    } catch (Exception e) {
      // The client closed the connection.
    }
  }

  private CompletableFuture<Either<CallFailure, BufferedResponse>> send(ServerSocket l) {
    URI uri = URI.create("http://127.0.0.1:" + l.getLocalPort() + "/x");
    return connector.sendAsync(new Call("GET", uri, List.of(), "", new byte[0], CALL_TIMEOUT_MS));
  }

  static boolean readHead(InputStream in) throws IOException {
    int ends = 0;
    for (int b = in.read(); b >= 0; b = in.read()) {
      ends = b == '\n' ? ends + 1 : b == '\r' ? ends : 0;
      if (ends == 2) {
        return true;
      }
    }
    return false;
  }

  /**
   * A server that accepts connections until it is told to stop. Jetty may open more connections
   * than requests wait, and one that stays in the backlog would never respond.
   */
  private final class StoppableServer {
    final ServerSocket listener;
    final AtomicInteger arrived = new AtomicInteger();
    final Semaphore arrivals = new Semaphore(0);
    private final AtomicInteger connected = new AtomicInteger();
    private final CountDownLatch respond = new CountDownLatch(1);
    private volatile boolean stopped;
    private final Thread acceptor = new Thread(this::accept, "server");

    StoppableServer() throws IOException {
      listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
      listener.setSoTimeout(20);
      open.add(listener);
      acceptor.setDaemon(true);
      acceptor.start();
    }

    private void accept() {
      while (!stopped || connected.get() < connector.openConnections()) {
        try {
          Socket s = listener.accept();
          connected.incrementAndGet();
          Thread c = new Thread(() -> run(this::serve, s), "connection");
          c.setDaemon(true);
          c.start();
        } catch (SocketTimeoutException e) {
          // Looks again whether it is to stop.
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket s) throws Exception {
      try {
        while (readHead(s.getInputStream())) {
          arrived.incrementAndGet();
          arrivals.release();
          respond.await();
          s.getOutputStream()
              .write("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok".getBytes(ISO_8859_1));
        }
      } finally {
        connected.decrementAndGet();
      }
    }

    /** Responds to all requests, and accepts no connection but those that the client has opened. */
    void stopAccepting() throws InterruptedException {
      respond.countDown();
      stopped = true;
      acceptor.join(CALL_TIMEOUT_MS);
      assertFalse(acceptor.isAlive(), "connections that the client opens and the server accepts");
    }
  }

  /** Guards against failing requests in progress because another connection can't be opened. */
  @Test
  void connectTimeoutFailsOnlyQueuedRequests() throws Exception {
    StoppableServer server = new StoppableServer();
    ServerSocket l = server.listener;
    List<CompletableFuture<Either<CallFailure, BufferedResponse>>> sent = new ArrayList<>();
    for (int missing = CONNECTIONS; missing > 0; ) {
      // A connect may time out on a busy machine, so that each lacking request is sent again.
      for (int i = 0; i < missing; i++) {
        sent.add(send(l));
      }
      while (missing > 0
          && server.arrivals.tryAcquire(2 * CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        missing--;
      }
    }
    server.stopAccepting();
    fillBacklog(l);
    Semaphore permits = new Semaphore(4 * CONNECTIONS);
    for (int i = 0; i < 20_000; i++) {
      permits.acquire();
      var f = send(l);
      sent.add(f);
      var unused = f.whenComplete((a, e) -> permits.release());
    }
    int responses = 0;
    for (var f : sent) {
      Either<CallFailure, BufferedResponse> a = f.get();
      responses += a.isRight() ? 1 : 0;
      assertTrue(a.isRight() || a.getLeft().kind() == FailureKind.NOT_SENT, a.toString());
    }
    assertEquals(server.arrived.get(), responses);
  }

  /** Starts a server that responds to one request with the given text and closes the connection. */
  private URI startResponder(String text) throws IOException {
    ServerSocket l =
        startServer(
            1,
            s -> {
              readHead(s.getInputStream());
              s.getOutputStream().write(text.getBytes(ISO_8859_1));
            });
    return URI.create("http://127.0.0.1:" + l.getLocalPort());
  }

  /** Guards against storing a truncated block as a complete one. */
  @Test
  void exportedBlockWithoutLengthIsRejected() throws IOException {
    URI engine = startResponder("HTTP/1.1 200 X\r\nConnection: close\r\n\r\nhalf a blo");
    var block =
        new HttpModelEngine(connector, engine, CALL_TIMEOUT_MS)
            .exportBlock(new BlockKey("0".repeat(32)));
    assertTrue(block.isLeft(), block.toString());
    assertEquals(ErrorKind.PROTOCOL_ERROR, block.getLeft().kind());
  }

  /** Guards against returning the response to another call. */
  @Test
  void responseToAnotherCallIsRejected() throws IOException {
    URI service =
        startResponder("HTTP/1.1 200 X\r\nX-Request-Id: other\r\nContent-Length: 6\r\n\r\nsecret");
    var reply =
        new HttpPlainService(connector, service, CALL_TIMEOUT_MS)
            .call(
                new PlainService.Call("own", "GET", "/x", List.of(), new byte[0]), CALL_TIMEOUT_MS);
    assertTrue(reply.isLeft(), reply.toString());
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, reply.getLeft().kind());
  }

  /** Fills the accept backlog of a server, so that further connection attempts time out. */
  private void fillBacklog(ServerSocket l) throws IOException {
    for (int i = 0; i < 3 * BACKLOG; i++) {
      SocketChannel c = SocketChannel.open();
      open.add(c);
      c.configureBlocking(false);
      c.connect(l.getLocalSocketAddress());
    }
  }

  /** Guards against a client that reads an endless response until its deadline or out of memory. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "|\r\n",
        "HTTP/1.1 200 |reason ",
        "HTTP/1.1 200 X\r\n|X-More: value\r\n",
        "|HTTP/1.1 103 X\r\n\r\n",
        "HTTP/1.1 200 X\r\n\r\n|body ",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n|0000",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n|1\r\na\r\n",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|X-Trailer: value\r\n"
      })
  void endlessResponseFailsAtOnce(String pattern) throws Exception {
    int separator = pattern.indexOf('|');
    ServerSocket l =
        startServer(
            1,
            s -> {
              readHead(s.getInputStream());
              OutputStream out = s.getOutputStream();
              out.write(pattern.substring(0, separator).getBytes(ISO_8859_1));
              byte[] more = pattern.substring(separator + 1).repeat(400).getBytes(ISO_8859_1);
              while (true) {
                out.write(more);
              }
            });
    Either<CallFailure, BufferedResponse> response =
        send(l).get(CALL_TIMEOUT_MS / 2, TimeUnit.MILLISECONDS);
    assertTrue(response.isLeft(), response.toString());
  }
}
