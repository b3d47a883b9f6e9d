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

/** Sends calls with JSON or raw bodies to paths below one base URI. */
final class JsonClient {

  /** Decodes the JSON of a successful response. */
  @FunctionalInterface
  interface Decoder<T> {
    T decode(JsonNode response) throws MalformedResponseException;
  }

  private final HttpConnector connector;
  private final String base;
  private final long timeoutMs;
  private final ErrorKind notSent;
  private final ErrorKind responseLost;

  /**
   * Creates a client.
   *
   * @param timeoutMs timeout of calls, in milliseconds
   * @param notSent kind of the failure if no byte of a request was sent
   * @param responseLost kind of the failure if a request may have arrived but its response was lost
   */
  JsonClient(
      HttpConnector connector,
      URI base,
      long timeoutMs,
      ErrorKind notSent,
      ErrorKind responseLost) {
    this.connector = connector;
    String b = base.toString();
    this.base = b.endsWith("/") ? b.substring(0, b.length() - 1) : b;
    this.timeoutMs = timeoutMs;
    this.notSent = notSent;
    this.responseLost = responseLost;
  }

  <T> Either<Failure, T> get(String path, Decoder<T> decoder) {
    return call("GET", path, "", new byte[0]).flatMap(a -> parse(a, decoder));
  }

  <T> Either<Failure, T> post(String path, JsonNode body, Decoder<T> decoder) {
    return call("POST", path, HttpConnector.JSON_MEDIA_TYPE, Json.bytes(body))
        .flatMap(a -> parse(a, decoder));
  }

  <T> Either<Failure, T> put(String path, byte[] body, Decoder<T> decoder) {
    return call("PUT", path, HttpConnector.BYTES_MEDIA_TYPE, body).flatMap(a -> parse(a, decoder));
  }

  /** Sends a call and returns its response, whatever the status. */
  Either<Failure, HttpConnector.BufferedResponse> call(
      String method, String path, String contentType, byte[] body) {
    return exchange(method, path, contentType, body).mapLeft(this::failure);
  }

  Either<HttpConnector.CallFailure, HttpConnector.BufferedResponse> exchange(
      String method, String path, String contentType, byte[] body) {
    return connector.send(
        new HttpConnector.Call(
            method, URI.create(base + path), List.of(), contentType, body, timeoutMs));
  }

  /**
   * Sends a call whose response is a stream. The connection is closed after it: responses don't
   * name their call, so a copy of one that refused a call could be taken for that to the next.
   */
  Either<Failure, HttpConnector.StreamedResponse> stream(
      String path, JsonNode body, long deadlineMs) {
    HttpConnector.Call c =
        new HttpConnector.Call(
            "POST",
            URI.create(base + path),
            List.of("Connection", "close"),
            HttpConnector.JSON_MEDIA_TYPE,
            Json.bytes(body),
            deadlineMs);
    return connector.stream(c, timeoutMs).mapLeft(this::failure);
  }

  /** Decodes a successful response; returns the failure that any other response states. */
  static <T> Either<Failure, T> parse(HttpConnector.BufferedResponse response, Decoder<T> decoder) {
    if (response.status() / 100 != 2) {
      return Either.left(statedFailure(response.status(), response.body()));
    }
    try {
      return Either.right(decoder.decode(Json.parse(response.body())));
    } catch (MalformedResponseException | IllegalArgumentException e) {
      return Either.left(malformedResponse(e));
    }
  }

  static Failure malformedResponse(Exception e) {
    return Failure.of(ErrorKind.PROTOCOL_ERROR, String.valueOf(e.getMessage()));
  }

  /**
   * Returns the failure that an error response states. One without a known error kind does not
   * state whether the request was executed and is a {@code PROTOCOL_ERROR}.
   */
  static Failure statedFailure(int status, byte[] body) {
    String fallback = "status " + status;
    try {
      return decodeError(Json.field(Json.parse(body), "error"), fallback);
    } catch (MalformedResponseException e) {
      return Failure.of(ErrorKind.PROTOCOL_ERROR, fallback);
    }
  }

  /** Decodes an error object; {@code fallback} is the message if it has none or is malformed. */
  static Failure decodeError(JsonNode error, String fallback) {
    try {
      ErrorKind kind = ErrorKind.valueOf(error.path("kind").asText().toUpperCase(Locale.ROOT));
      long retry = Math.max(0, error.path("retryAfterMs").asLong(0));
      return new Failure(kind, error.path("message").asText(fallback), retry);
    } catch (IllegalArgumentException e) {
      return Failure.of(ErrorKind.PROTOCOL_ERROR, fallback);
    }
  }

  /** Returns a query parameter with its value URL-encoded. */
  static String queryParameter(String name, String value) {
    return name + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8);
  }

  private Failure failure(HttpConnector.CallFailure b) {
    return switch (b.kind()) {
      case NOT_SENT -> Failure.of(notSent, b.message());
      case RESPONSE_LOST -> Failure.of(responseLost, b.message());
      case RESPONSE_TOO_LARGE -> Failure.of(ErrorKind.PROTOCOL_ERROR, b.message());
    };
  }
}
