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

/** The client before servers that stop to accept connections, or send without end. */
@Timeout(60)
class UnreliableServerTest {

  private static final int KEPT = 4;
  private static final int QUEUE = 8;
  private static final long CALL_MS = 5_000;

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

  /** Starts a server that accepts some connections and no more. */
  private ServerSocket accept(int connections, Script script) throws IOException {
    ServerSocket l = new ServerSocket(0, QUEUE, InetAddress.getLoopbackAddress());
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
    return connector.sendAsync(new Call("GET", uri, List.of(), "", new byte[0], CALL_MS));
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

  /** Guards against requests in service that fail because another connection can't be opened. */
  @Test
  void connectTimeoutFailsWaitingRequestsOnly() throws Exception {
    CyclicBarrier all = new CyclicBarrier(KEPT);
    AtomicInteger arrived = new AtomicInteger();
    ServerSocket l =
        accept(
            KEPT,
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
    for (int i = 0; i < KEPT; i++) {
      sent.add(send(l));
    }
    for (var f : sent) {
      assertTrue(f.get().isRight(), "the first requests open the connections");
    }
    fillQueue(l);
    Semaphore permits = new Semaphore(4 * KEPT);
    for (int i = 0; i < 20_000; i++) {
      permits.acquire();
      var f = send(l);
      sent.add(f);
      var unused = f.whenComplete((a, e) -> permits.release());
    }
    int answered = 0;
    for (var f : sent) {
      Either<CallFailure, BufferedResponse> a = f.get();
      answered += a.isRight() ? 1 : 0;
      assertTrue(a.isRight() || a.getLeft().loss() == FailureKind.NOT_SENT, a.toString());
    }
    assertEquals(arrived.get(), answered);
  }

  /** Answers each request of the first connection with the same text and ends it. */
  private URI answer(String text) throws IOException {
    ServerSocket l =
        accept(
            1,
            s -> {
              readHead(s.getInputStream());
              s.getOutputStream().write(text.getBytes(ISO_8859_1));
            });
    return URI.create("http://127.0.0.1:" + l.getLocalPort());
  }

  /** Guards against a block that an engine cut short and that is kept as a whole one. */
  @Test
  void exportedBlockWithoutLengthIsRefused() throws IOException {
    URI engine = answer("HTTP/1.1 200 X\r\nConnection: close\r\n\r\nhalf a blo");
    var block =
        new HttpModelEngine(connector, engine, CALL_MS).exportBlock(new BlockKey("0".repeat(32)));
    assertTrue(block.isLeft(), block.toString());
    assertEquals(ErrorKind.PROTOCOL_ERROR, block.getLeft().kind());
  }

  /** Guards against an answer of another call that is passed on. */
  @Test
  void answerToAnotherCallIsRefused() throws IOException {
    URI service =
        answer("HTTP/1.1 200 X\r\nX-Request-Id: other\r\nContent-Length: 6\r\n\r\nsecret");
    var reply =
        new HttpPlainService(connector, service, CALL_MS)
            .call(new PlainService.Call("own", "GET", "/x", List.of(), new byte[0]), CALL_MS);
    assertTrue(reply.isLeft(), reply.toString());
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, reply.getLeft().kind());
  }

  /** Fills the queue of connections that wait to be accepted; further ones are not answered. */
  private void fillQueue(ServerSocket l) throws IOException {
    for (int i = 0; i < 3 * QUEUE; i++) {
      SocketChannel c = SocketChannel.open();
      open.add(c);
      c.configureBlocking(false);
      c.connect(l.getLocalSocketAddress());
    }
  }

  /** Guards against a client that reads until its deadline or its memory ends. */
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
  void answerWithoutEndFailsAtOnce(String flood) throws Exception {
    int again = flood.indexOf('|');
    ServerSocket l =
        accept(
            1,
            s -> {
              readHead(s.getInputStream());
              OutputStream out = s.getOutputStream();
              out.write(flood.substring(0, again).getBytes(ISO_8859_1));
              byte[] more = flood.substring(again + 1).repeat(400).getBytes(ISO_8859_1);
              while (true) {
                out.write(more);
              }
            });
    Either<CallFailure, BufferedResponse> answer = send(l).get(CALL_MS / 2, TimeUnit.MILLISECONDS);
    assertTrue(answer.isLeft(), answer.toString());
  }
}
