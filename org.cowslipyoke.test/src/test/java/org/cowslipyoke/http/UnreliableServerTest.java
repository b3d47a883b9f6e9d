package org.cowslipyoke.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
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

  private interface Script {
    void serve(Socket s) throws Exception;
  }

  private final HttpConnector connector =
      HttpConnector.start("test", new HttpConnector.Limits(16, 64, 100, 1 << 20));
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

  private static boolean readHead(InputStream in) throws IOException {
    int ends = 0;
    for (int b = in.read(); b >= 0; b = in.read()) {
      ends = b == '\n' ? ends + 1 : b == '\r' ? ends : 0;
      if (ends == 2) {
        return true;
      }
    }
    return false;
  }

  /** Guards against failing requests in progress because another connection can't be opened. */
  @Test
  void connectTimeoutFailsOnlyQueuedRequests() throws Exception {
    CyclicBarrier all = new CyclicBarrier(CONNECTIONS);
    AtomicInteger arrived = new AtomicInteger();
    ServerSocket l =
        startServer(
            CONNECTIONS,
            s -> {
              boolean first = true;
              while (readHead(s.getInputStream())) {
                arrived.incrementAndGet();
                if (first) {
                  all.await(10, TimeUnit.SECONDS);
                }
                first = false;
                s.getOutputStream()
                    .write("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok".getBytes(ISO_8859_1));
              }
            });
    List<CompletableFuture<Either<CallFailure, BufferedResponse>>> sent = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      sent.add(send(l));
    }
    for (var f : sent) {
      assertTrue(f.get().isRight(), "the first requests open the connections");
    }
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
    assertEquals(arrived.get(), responses);
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
