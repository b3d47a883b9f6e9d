package org.cowslipyoke.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/** Calls with JSON or raw bodies against one base address. */
final class JsonCaller {

  /** Maps the JSON of a successful answer to a result. */
  @FunctionalInterface
  interface Reader<T> {
    T read(JsonNode answer) throws MalformedResponseException;
  }

  private final HttpConnector connector;
  private final String base;
  private final long timeoutMs;
  private final ErrorKind notSent;
  private final ErrorKind lost;

  /**
   * Creates a caller.
   *
   * @param notSent kind of a failure where no byte was sent
   * @param lost kind of a failure where the answer was lost
   */
  JsonCaller(HttpConnector connector, URI base, long timeoutMs, ErrorKind notSent, ErrorKind lost) {
    this.connector = connector;
    String b = base.toString();
    this.base = b.endsWith("/") ? b.substring(0, b.length() - 1) : b;
    this.timeoutMs = timeoutMs;
    this.notSent = notSent;
    this.lost = lost;
  }

  <T> Either<Failure, T> get(String path, Reader<T> reader) {
    return call("GET", path, "", new byte[0]).flatMap(a -> parse(a, reader));
  }

  <T> Either<Failure, T> post(String path, JsonNode body, Reader<T> reader) {
    return call("POST", path, HttpConnector.JSON, Json.bytes(body)).flatMap(a -> parse(a, reader));
  }

  <T> Either<Failure, T> put(String path, byte[] body, Reader<T> reader) {
    return call("PUT", path, HttpConnector.BYTES, body).flatMap(a -> parse(a, reader));
  }

  /** Calls and returns the answer with any status. */
  Either<Failure, HttpConnector.BufferedResponse> call(
      String method, String path, String contentType, byte[] body) {
    return exchange(method, path, contentType, body).mapLeft(this::failure);
  }

  Either<HttpConnector.CallFailure, HttpConnector.BufferedResponse> exchange(
      String method, String path, String contentType, byte[] body) {
    return connector.send(request(method, path, contentType, body, timeoutMs));
  }

  Either<Failure, HttpConnector.StreamedResponse> stream(
      String path, JsonNode body, long deadlineMs) {
    HttpConnector.Call c = request("POST", path, HttpConnector.JSON, Json.bytes(body), deadlineMs);
    return connector.stream(c, timeoutMs).mapLeft(this::failure);
  }

  /** Returns the result of an answer, or the failure that the answer states. */
  static <T> Either<Failure, T> parse(HttpConnector.BufferedResponse answer, Reader<T> reader) {
    if (answer.status() / 100 != 2) {
      return Either.left(stated(answer.status(), answer.body()));
    }
    try {
      return Either.right(reader.read(Json.parse(answer.body())));
    } catch (MalformedResponseException | IllegalArgumentException e) {
      return Either.left(malformed(e));
    }
  }

  static Failure malformed(Exception e) {
    return Failure.of(ErrorKind.PROTOCOL_ERROR, String.valueOf(e.getMessage()));
  }

  /**
   * Returns the failure of an error answer. An answer without a known kind states nothing about the
   * execution.
   */
  static Failure stated(int status, byte[] body) {
    String fallback = "status " + status;
    try {
      return statedIn(Json.field(Json.parse(body), "error"), fallback);
    } catch (MalformedResponseException e) {
      return Failure.of(ErrorKind.PROTOCOL_ERROR, fallback);
    }
  }

  /** Returns the failure of an error object. */
  static Failure statedIn(JsonNode error, String fallback) {
    try {
      ErrorKind kind = ErrorKind.valueOf(error.path("kind").asText().toUpperCase(Locale.ROOT));
      long retry = Math.max(0, error.path("retryAfterMs").asLong(0));
      return new Failure(kind, error.path("message").asText(fallback), retry);
    } catch (IllegalArgumentException e) {
      return Failure.of(ErrorKind.PROTOCOL_ERROR, fallback);
    }
  }

  /** Returns a query parameter with its value encoded. */
  static String param(String name, String value) {
    return name + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8);
  }

  private HttpConnector.Call request(
      String method, String path, String contentType, byte[] body, long ms) {
    return new HttpConnector.Call(
        method, URI.create(base + path), List.of(), contentType, body, ms);
  }

  private Failure failure(HttpConnector.CallFailure b) {
    return switch (b.loss()) {
      case NOT_SENT -> Failure.of(notSent, b.message());
      case RESPONSE_LOST -> Failure.of(lost, b.message());
      case RESPONSE_TOO_LARGE -> Failure.of(ErrorKind.PROTOCOL_ERROR, b.message());
    };
  }
}
