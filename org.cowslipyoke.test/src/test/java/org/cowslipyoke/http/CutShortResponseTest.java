package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslipyoke.http.HttpConnector.BufferedResponse;
import org.cowslipyoke.http.HttpConnector.Call;
import org.cowslipyoke.http.HttpConnector.CallFailure;
import org.cowslipyoke.http.HttpConnector.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses to a process's own calls that are no whole or no valid ones. */
@Timeout(30)
class CutShortResponseTest {

  /** Larger than the socket buffers. */
  private static final int BODY_BYTES = 4_000_000;

  private final HttpConnector connector =
      HttpConnector.start("t", new HttpConnector.Limits(4, 8, 5_000, 1 << 16));

  @AfterEach
  void stop() {
    connector.close();
  }

  /** Sends a call to a server that reads the given number of its bytes before it responds. */
  private Either<CallFailure, BufferedResponse> call(
      String method, int bodyBytes, int readBytes, String response) throws Exception {
    try (ServerSocket listener = new ServerSocket()) {
      listener.setReceiveBufferSize(16 << 10);
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      CompletableFuture<Void> served =
          CompletableFuture.runAsync(() -> serve(listener, readBytes, response));
      URI uri = URI.create("http://127.0.0.1:" + listener.getLocalPort() + "/x");
      String type = bodyBytes > 0 ? HttpConnector.BYTES_MEDIA_TYPE : "";
      Either<CallFailure, BufferedResponse> r =
          connector.send(new Call(method, uri, List.of(), type, new byte[bodyBytes], 10_000));
      served.get(10, TimeUnit.SECONDS);
      return r;
    }
  }

  private static void serve(ServerSocket listener, int readBytes, String response) {
    try (Socket s = listener.accept()) {
      s.getInputStream().readNBytes(readBytes);
      OutputStream out = s.getOutputStream();
      out.write(response.getBytes(StandardCharsets.ISO_8859_1));
      s.shutdownOutput();
      // A reset discards bytes that the peer has not read.
      Thread.sleep(100);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Guards against taking a part of a response for the whole one, also where the send buffer of the
   * kernel would take the request if it were not bounded.
   */
  @ParameterizedTest
  @ValueSource(ints = {BODY_BYTES, 500_000})
  void endBeforeTheRequestIsWrittenLosesTheResponse(int bodyBytes) throws Exception {
    Either<CallFailure, BufferedResponse> r =
        call("PUT", bodyBytes, 20_000, "HTTP/1.1 200 OK\r\n\r\npart");
    assertTrue(r.isLeft(), () -> "status " + r.get().status());
    assertEquals(FailureKind.RESPONSE_LOST, r.getLeft().kind());
  }

  @Test
  void endAfterTheRequestWasWrittenEndsTheResponse() throws Exception {
    Either<CallFailure, BufferedResponse> r = call("GET", 0, 1, "HTTP/1.1 200 OK\r\n\r\nwhole");
    assertEquals("whole", new String(r.get().body(), StandardCharsets.ISO_8859_1));
  }

  /** A response that can't have a body needs no end. */
  @Test
  void responseWithoutBodyMayComeBeforeTheRequestIsWritten() throws Exception {
    Either<CallFailure, BufferedResponse> r =
        call("PUT", BODY_BYTES, 20_000, "HTTP/1.1 204 No Content\r\n\r\n");
    assertEquals(204, r.get().status());
  }

  /** Guards against an outcome that follows from a status that is none of HTTP. */
  @ParameterizedTest
  @ValueSource(ints = {0, 199, 600, 999})
  void responseWithInvalidStatusIsLost(int status) throws Exception {
    String head = "HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\nok".formatted(status);
    Either<CallFailure, BufferedResponse> r = call("GET", 0, 1, head);
    assertTrue(r.isLeft(), () -> "status " + r.get().status());
    assertEquals(FailureKind.RESPONSE_LOST, r.getLeft().kind());
  }
}
