package org.cowslipyoke.daemon.entry;

import static org.cowslipyoke.daemon.entry.EntryFixture.BODY;
import static org.cowslipyoke.daemon.entry.EntryFixture.hasError;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the HTTP interface of the entry: responses, body limits, rate limits, idempotency keys,
 * isolation of organisations and shutdown.
 */
class EntryHttpTest {

  private EntryFixture entry;

  @BeforeEach
  void open() throws Exception {
    entry = new EntryFixture();
  }

  @AfterEach
  void close() throws Exception {
    EntryFixture.await(() -> entry.role.running() == 0);
    entry.close();
  }

  private String sendRaw(String text) throws Exception {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), entry.port())) {
      s.setSoTimeout(20_000);
      s.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      s.getOutputStream().flush();
      byte[] head = s.getInputStream().readNBytes(12);
      return new String(head, StandardCharsets.UTF_8);
    }
  }

  private static String requestHead(int length) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-alpha\r\n"
        + "Content-Length: "
        + length
        + "\r\n\r\n";
  }

  @Test
  void nonStreamingResponseHasUsageAndHeaders() throws Exception {
    HttpResponse<String> r = entry.chat("alpha", BODY, "X-Request-Id", "r-7");
    assertEquals(200, r.statusCode());
    assertTrue(r.body().contains("\"content\":\"Hello\""), r.body());
    assertTrue(r.body().contains("\"completion_tokens\":2"), r.body());
    assertTrue(r.body().contains("\"cached_tokens\":4"), r.body());
    assertEquals("r-7", r.headers().firstValue("X-Request-Id").orElse(""));
    assertEquals("server-1", r.headers().firstValue("X-Server").orElse(""));
    assertEquals("4", r.headers().firstValue("X-Reused-Tokens").orElse(""));
  }

  @Test
  void eventIdsAreTheNextTokenOffset() throws Exception {
    HttpResponse<String> r =
        entry.chat("alpha", BODY.replace("{\"model", "{\"stream\":true,\"model"));
    List<String> ids = r.body().lines().filter(l -> l.startsWith("id: ")).toList();
    assertEquals(List.of("id: 1", "id: 2", "id: 2"), ids, r.body());
    assertTrue(r.body().endsWith("data: [DONE]\n\n"));
  }

  @Test
  void refusesMalformedDeepAndOversizedBodies() throws Exception {
    for (String b : List.of("{", "[]", "{\"model\":1}", BODY + "x", BODY.replace("user", "root"))) {
      assertTrue(hasError(entry.chat("alpha", b), ErrorKind.INVALID_REQUEST), b);
    }
    String deep = "[".repeat(ChatRequest.MAX_DEPTH + 1);
    assertTrue(hasError(entry.chat("alpha", "{\"model\":" + deep), ErrorKind.TOO_LARGE));
    byte[] large = new byte[(1 << 16) + 1];
    HttpRequest.Builder chunked =
        entry
            .request(EntryHandler.CHAT_PATH, "alpha")
            .POST(
                HttpRequest.BodyPublishers.fromPublisher(
                    HttpRequest.BodyPublishers.ofByteArray(large)));
    assertTrue(hasError(entry.send(chunked), ErrorKind.TOO_LARGE));
    assertEquals("HTTP/1.1 413", sendRaw(requestHead(large.length)));
    assertEquals(0, entry.servers.received.size());
  }

  @Test
  void slowBodyIsRefusedAndTruncatedBodyIsDiscarded() throws Exception {
    assertEquals("HTTP/1.1 400", sendRaw(requestHead(50) + "{"));
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), entry.port())) {
      s.getOutputStream().write((requestHead(50) + "{").getBytes(StandardCharsets.UTF_8));
      s.shutdownOutput();
      EntryFixture.await(() -> entry.role.running() == 0);
    }
    assertEquals(0, entry.servers.received.size());
  }

  /** Guards against bodies that keep out small requests, and against refusing them as if run. */
  @Test
  void bodyThatGivesWayIsRefusedAsNotRun() throws Exception {
    entry.close();
    entry = new EntryFixture(60_000);
    List<Socket> all = new ArrayList<>();
    for (int i = 0; i < EntryFixture.CALLER_BYTES >> 16; i++) {
      Socket s = new Socket(InetAddress.getLoopbackAddress(), entry.port());
      s.setSoTimeout(20_000);
      s.getOutputStream().write((requestHead(1 << 16) + "{").getBytes(StandardCharsets.UTF_8));
      all.add(s);
    }
    EntryFixture.await(
        () ->
            entry.meters.get("cowslipyoke_caller_memory_used").gauge().value()
                == EntryFixture.CALLER_BYTES);
    assertEquals(200, entry.chat("beta", BODY).statusCode());
    EntryFixture.await(() -> all.stream().anyMatch(EntryHttpTest::isAnswered));
    List<Socket> refused = all.stream().filter(EntryHttpTest::isAnswered).toList();
    assertEquals(1, refused.size());
    byte[] answer = refused.get(0).getInputStream().readAllBytes();
    String text = new String(answer, StandardCharsets.UTF_8);
    assertTrue(text.startsWith("HTTP/1.1 503") && text.contains("not_run"), text);
    assertTrue(text.contains("Retry-After: 1\r\n"), text);
    for (Socket s : all) {
      s.close();
    }
  }

  private static boolean isAnswered(Socket s) {
    try {
      return s.getInputStream().available() > 0;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void refusesUnknownKeyModelPathAndHeader() throws Exception {
    assertTrue(hasError(entry.chat("nobody", BODY), ErrorKind.UNAUTHENTICATED));
    String otherModel = BODY.replace("\"m\"", "\"n\"");
    assertTrue(hasError(entry.chat("alpha", otherModel), ErrorKind.NOT_FOUND));
    assertTrue(hasError(entry.send(entry.request("/x", "alpha")), ErrorKind.NOT_FOUND));
    assertTrue(
        hasError(entry.chat("alpha", BODY, "X-Deadline-Ms", "0"), ErrorKind.INVALID_REQUEST));
    assertTrue(
        hasError(entry.chat("alpha", BODY, "Last-Event-ID", "2"), ErrorKind.INVALID_REQUEST));
  }

  /** Guards against a caller reusing a connection that the entry is closing. */
  @Test
  void refusalBeforeTheBodyIsReadClosesTheConnection() throws Exception {
    HttpResponse<String> r = entry.chat("nobody", BODY);
    assertEquals("close", r.headers().firstValue("Connection").orElse(""));
  }

  @Test
  void rateLimitedResponseHasRetryAfter() throws Exception {
    assertEquals(200, entry.chat("small", BODY).statusCode());
    HttpResponse<String> r = entry.chat("small", BODY);
    assertTrue(hasError(r, ErrorKind.RATE_LIMITED));
    assertEquals("1", r.headers().firstValue("Retry-After").orElse(""));
    assertEquals(200, entry.chat("alpha", BODY).statusCode());
  }

  @Test
  void requestWithIdempotencyKeyRunsOncePerOrganisation() throws Exception {
    String first = entry.chat("alpha", BODY, "Idempotency-Key", "k").body();
    String second = entry.chat("alpha", BODY, "Idempotency-Key", "k").body();
    assertTrue(first.contains("Hello") && second.contains("Hello"), second);
    assertEquals(1, entry.servers.count(Message.Start.class));
    String other = BODY.replace("hi", "ho");
    assertTrue(hasError(entry.chat("alpha", other, "Idempotency-Key", "k"), ErrorKind.KEY_REUSED));
    assertEquals(200, entry.chat("beta", other, "Idempotency-Key", "k").statusCode());
    entry.table.setOutage(true);
    assertTrue(
        hasError(entry.chat("beta", BODY, "Idempotency-Key", "n"), ErrorKind.STORE_UNAVAILABLE));
    assertEquals(
        200,
        entry.chat("beta", BODY).statusCode(),
        "requests without an idempotency key do not need the table");
    entry.table.setOutage(false);
  }

  @Test
  void brokenStreamIsResumedAndCallerSeesNoError() throws Exception {
    entry.servers.on(
        Message.Start.class,
        (id, m) -> List.of(FakeServers.completion(id).get(1), FakeServers.RESET));
    assertTrue(entry.chat("alpha", BODY).body().contains("\"content\":\"Hello\""));
    assertEquals(1, entry.servers.count(Message.Resume.class));
  }

  @Test
  void reconnectingCallerGetsTheRemainingTokens() throws Exception {
    entry.servers.on(Message.Probe.class, (id, m) -> List.of(FakeServers.offer(2)));
    String body = BODY.replace("{\"model", "{\"stream\":true,\"model");
    HttpResponse<String> r = entry.chat("alpha", body, "X-Request-Id", "r-1", "Last-Event-ID", "1");
    assertFalse(r.body().contains("\"Hel\""), r.body());
    assertTrue(r.body().contains("\"lo\""), r.body());
    assertEquals(0, entry.servers.count(Message.Start.class));
  }

  @Test
  void errorsAndMetricsDoNotRevealOtherOrganisations() throws Exception {
    String secret = "beta asked about paddock 9";
    entry.servers.on(
        Message.Probe.class,
        (id, m) -> List.of(new Message.Refused(ErrorKind.OVERLOADED, secret, 0)));
    entry.servers.on(
        Message.ServiceCall.class,
        (id, m) -> List.of(new Message.Failed(id, ErrorKind.BACKEND_FAILED, Outcome.RUN, secret)));
    HttpResponse<String> r = entry.chat("alpha", BODY, "X-Deadline-Ms", "1000");
    assertFalse(r.body().contains("beta"), r.body());
    HttpResponse<String> s = entry.send(entry.request("/book/x", "alpha"));
    assertTrue(hasError(s, ErrorKind.BACKEND_FAILED), s.body());
    assertFalse(s.body().contains("beta"), s.body());
    String meters = entry.meters.getMetersAsString();
    assertFalse(meters.contains("alpha") || meters.contains("paddock"), meters);
  }

  @Test
  void reusedRequestIdDoesNotMatchAnotherOrganisation() throws Exception {
    entry.chat("alpha", BODY, "X-Request-Id", "r-9", "X-Conversation-Id", "c-9");
    entry.chat("beta", BODY, "X-Request-Id", "r-9", "X-Conversation-Id", "c-9");
    List<Message.Probe> probes =
        entry.servers.received.stream()
            .filter(Message.Probe.class::isInstance)
            .map(Message.Probe.class::cast)
            .toList();
    assertEquals("beta", probes.get(1).organisation());
    assertFalse(probes.get(0).digest().equals(probes.get(1).digest()));
  }

  @Test
  void serviceCallOmitsTheCredential() throws Exception {
    HttpRequest.BodyPublisher none = HttpRequest.BodyPublishers.noBody();
    HttpResponse<String> r = entry.send(entry.request("/book/slots?day=1", "alpha").POST(none));
    assertEquals(201, r.statusCode());
    assertEquals("/slots?day=1", r.body());
    Message.ServiceCall call = (Message.ServiceCall) entry.servers.received.get(0);
    assertFalse(call.idempotent());
    assertTrue(call.headers().stream().noneMatch(h -> h.contains("key-alpha")));
    for (String path : List.of("/book/%73lots", "/book//slots", "/book/x/../slots")) {
      String line = "POST " + path + " HTTP/1.1\r\nHost: x\r\n";
      String status =
          sendRaw(line + "Authorization: Bearer key-alpha\r\nContent-Length: 0\r\n\r\n");
      assertEquals("HTTP/1.1 400", status, path);
    }
    assertEquals(1, entry.servers.count(Message.ServiceCall.class));
  }

  @Test
  void notReadyAfterPauseAndShuttingDownAfterStop() throws Exception {
    entry.clock.advance(10_000);
    assertTrue(hasError(entry.chat("alpha", BODY), ErrorKind.NOT_READY));
    entry.role.stopAdmitting();
    assertTrue(hasError(entry.chat("alpha", BODY), ErrorKind.SHUTTING_DOWN));
  }
}
