package org.cowslipyoke.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.http.EngineClientTest.TokenCollector;
import org.cowslipyoke.platform.ModelEngine.Generation;
import org.cowslipyoke.platform.ModelEngine.StreamEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the client of an engine that sends the copy of a refusal where the next one is due. */
@Timeout(30)
class CopiedEngineRefusalTest {

  private static final String REFUSAL =
      response(503, "{\"error\":{\"kind\":\"overloaded\",\"message\":\"full\"}}");
  private static final String END =
      response(200, "{\"end\":{\"tokenCount\":0,\"finishReason\":\"stop\"}}\n");

  private final AtomicInteger runs = new AtomicInteger();

  private static String response(int status, String body) {
    return "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Guards against a run that is refused, and runs elsewhere, while its engine runs it. */
  @Test
  void refusalOfOneRunIsNotTakenForThatOfTheNext() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        HttpConnector connector = HttpConnector.start("test", HttpConnector.Limits.defaults())) {
      Thread acceptor = new Thread(() -> accept(listener), "engine");
      acceptor.setDaemon(true);
      acceptor.start();
      URI base = URI.create("http://127.0.0.1:" + listener.getLocalPort());
      HttpModelEngine engine = new HttpModelEngine(connector, base, 2_000);
      assertTrue(generate(engine, "run-1").isLeft());
      assertTrue(generate(engine, "run-2").isRight());
      assertEquals(1, runs.get());
    }
  }

  private static Either<Failure, StreamEnd> generate(HttpModelEngine engine, String run) {
    Generation g = new Generation(run, "m", "a", new byte[0], new byte[0], 0, List.of(), 5, 0);
    return engine.generate(g, new TokenCollector(0, 5));
  }

  private void accept(ServerSocket listener) {
    try {
      for (boolean first = true; true; first = false) {
        Socket s = listener.accept();
        boolean refuses = first;
        Thread t = new Thread(() -> serve(s, refuses), "engine-connection");
        t.setDaemon(true);
        t.start();
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  /** Refuses the first run of a connection if it should, and sends a copy before the next. */
  private void serve(Socket s, boolean refuses) {
    try (s) {
      InputStream in = s.getInputStream();
      boolean refused = false;
      while (readRequest(in)) {
        if (refuses && !refused) {
          refused = true;
          s.getOutputStream().write(REFUSAL.getBytes(ISO_8859_1));
        } else {
          runs.incrementAndGet();
          String text = refused ? REFUSAL + END : END;
          s.getOutputStream().write(text.getBytes(ISO_8859_1));
        }
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static boolean readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return false;
      }
      head.append((char) b);
    }
    for (String line : head.toString().split("\r\n", -1)) {
      if (line.regionMatches(true, 0, "Content-Length:", 0, 15)) {
        in.readNBytes(Integer.parseInt(line.substring(15).trim()));
      }
    }
    return true;
  }
}
