package org.cowslipyoke.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cowslipyoke.http.HttpConnector.BufferedResponse;
import org.cowslipyoke.http.HttpConnector.Call;
import org.cowslipyoke.http.HttpConnector.CallFailure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that responses which break off do no harm to those of other connections. */
@Timeout(120)
class BrokenResponsesTest {

  private static final long SEED = 20261206;
  private static final int CALLERS = 8;
  private static final int REQUESTS = 5_000;
  private static final int EVENTS = 6;

  /** One response in this number breaks off within its fourth event. */
  private static final int BROKEN_IN = 3;

  private static final String WHOLE =
      IntStream.rangeClosed(1, EVENTS)
          .mapToObj(BrokenResponsesTest::event)
          .collect(Collectors.joining());

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpConnector connector =
      HttpConnector.start("test", new HttpConnector.Limits(64, 64, 5_000, 1 << 20));
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  @AfterEach
  void stop() {
    connector.close();
    threads.shutdownNow();
  }

  private static String event(int i) {
    return "id: " + i + "\ndata: e" + i + "\n\n";
  }

  private void accept(ServerSocket l) {
    Random seeds = new Random(SEED);
    try {
      while (true) {
        Socket s = l.accept();
        Random random = new Random(seeds.nextLong());
        threads.execute(() -> serve(s, random));
      }
    } catch (IOException e) {
      // The test ended.
    }
  }

  private void serve(Socket s, Random random) {
    try (s) {
      s.setTcpNoDelay(true);
      OutputStream out = s.getOutputStream();
      while (UnreliableServerTest.readHead(s.getInputStream())) {
        out.write("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(ISO_8859_1));
        boolean breaks = random.nextInt(BROKEN_IN) == 0;
        for (int i = 1; i <= EVENTS; i++) {
          if (breaks && i == 4) {
            broken.incrementAndGet();
            chunk(out, event(i).substring(0, 10));
            return;
          }
          chunk(out, event(i));
        }
        out.write("0\r\n\r\n".getBytes(ISO_8859_1));
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    String c = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    out.write(c.getBytes(ISO_8859_1));
    out.flush();
  }

  private List<String> callServer(URI uri) {
    List<String> wrong = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      Either<CallFailure, BufferedResponse> r =
          connector.send(new Call("GET", uri, List.of(), "", new byte[0], 10_000));
      if (r.isLeft()) {
        lost.incrementAndGet();
      } else if (!new String(r.get().body(), ISO_8859_1).equals(WHOLE)) {
        wrong.add(new String(r.get().body(), ISO_8859_1));
      }
    }
    return wrong;
  }

  /**
   * Guards against buffers that the library gives to two connections after a response has broken
   * off: others then lost bytes, passed as complete with a hole, or waited until their deadline.
   */
  @Test
  void otherResponsesStayWhole() throws Exception {
    System.out.println("BrokenResponsesTest seed " + SEED);
    List<String> wrong = new ArrayList<>();
    try (ServerSocket l = new ServerSocket(0, 200, InetAddress.getLoopbackAddress())) {
      threads.execute(() -> accept(l));
      URI uri = URI.create("http://127.0.0.1:" + l.getLocalPort() + "/x");
      List<Future<List<String>>> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        callers.add(threads.submit(() -> callServer(uri)));
      }
      for (Future<List<String>> c : callers) {
        wrong.addAll(c.get());
      }
    }
    assertEquals(List.of(), wrong);
    assertEquals(broken.get(), lost.get(), "only responses that broke off are lost");
  }
}
