package org.cowslipyoke.http;

import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.PlainService;

/** Client of a plain service; passes calls and answers on without reading them. */
public final class HttpPlainService implements PlainService {

  /** Headers of one connection (RFC 9110, section 7.6.1) and those that the client sets. */
  private static final Set<String> OWN_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length",
          "content-type",
          "user-agent",
          "x-request-id",
          "expect",
          "accept-encoding");

  private final HttpConnector connector;
  private final String base;
  private final long timeoutMs;

  /** Creates a client whose calls end after {@code timeoutMs} at the latest. */
  public HttpPlainService(HttpConnector connector, URI base, long timeoutMs) {
    this.connector = connector;
    String b = base.toString();
    this.base = b.endsWith("/") ? b.substring(0, b.length() - 1) : b;
    this.timeoutMs = timeoutMs;
  }

  @Override
  public Either<Failure, Reply> call(Call call, long deadlineMs) {
    URI uri;
    try {
      uri = URI.create(base + call.path());
    } catch (IllegalArgumentException e) {
      return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, "malformed path"));
    }
    if (!call.path().startsWith("/")) {
      return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, "path must start with a slash"));
    }
    List<String> headers = new ArrayList<>(passed(call.headers()));
    headers.add("X-Request-Id");
    headers.add(call.requestId());
    String type = call.body().length == 0 ? "" : contentType(call.headers());
    long ms = Math.min(deadlineMs, timeoutMs);
    return connector
        .send(new HttpConnector.Call(call.method(), uri, headers, type, call.body(), ms))
        .mapLeft(HttpPlainService::failure)
        .flatMap(a -> reply(call, a));
  }

  private static Either<Failure, Reply> reply(Call call, HttpConnector.BufferedResponse a) {
    String id = a.header("X-Request-Id");
    if (!id.isEmpty() && !id.equals(call.requestId())) {
      return Either.left(
          Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the answer belongs to another request"));
    }
    return Either.right(new Reply(a.status(), passedBack(a.headers()), a.body()));
  }

  private static Failure failure(HttpConnector.CallFailure b) {
    return Failure.of(
        b.loss() == HttpConnector.FailureKind.NOT_SENT
            ? ErrorKind.NO_SERVER
            : ErrorKind.OUTCOME_UNKNOWN,
        b.message());
  }

  private static String contentType(List<String> headers) {
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      if (headers.get(i).equalsIgnoreCase("Content-Type")) {
        return headers.get(i + 1);
      }
    }
    return HttpConnector.BYTES;
  }

  private static List<String> passed(List<String> headers) {
    return filter(headers, name -> !OWN_HEADERS.contains(name));
  }

  private static List<String> passedBack(List<String> headers) {
    return filter(headers, name -> name.equals("content-type") || !OWN_HEADERS.contains(name));
  }

  private static List<String> filter(List<String> headers, Predicate<String> kept) {
    List<String> out = new ArrayList<>();
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      if (kept.test(headers.get(i).toLowerCase(Locale.ROOT))) {
        out.add(headers.get(i));
        out.add(headers.get(i + 1));
      }
    }
    return out;
  }
}
