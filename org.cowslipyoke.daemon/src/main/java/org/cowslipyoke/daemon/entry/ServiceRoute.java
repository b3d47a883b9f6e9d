package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Service;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.request.ServiceCallStateMachine;
import org.cowslipyoke.request.ServiceSpec;
import org.cowslipyoke.util.Digests;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;

/** Creates the driver of a call for a request under the path prefix of a plain service. */
final class ServiceRoute {

  private static final int MAX_HEADERS = 100;

  private final RequestDriverFactory driverFactory;

  ServiceRoute(RequestDriverFactory driverFactory) {
    this.driverFactory = driverFactory;
  }

  /** Returns the service whose prefix is the longest match of the path. */
  Optional<Service> find(Configuration c, String path) {
    return c.places().services().values().stream()
        .filter(s -> path.equals(s.prefix()) || path.startsWith(s.prefix() + "/"))
        .max(Comparator.comparingInt(s -> s.prefix().length()));
  }

  /** Returns a driver that has not been started, or why the request is invalid. */
  Either<Failure, RequestDriver> createDriver(
      Exchange exchange,
      Configuration c,
      RequestMetadata metadata,
      Service service,
      byte[] body,
      Runnable onEnd) {
    Either<Failure, ServiceSpec> spec = spec(exchange.request(), metadata, service, body);
    if (spec.isLeft()) {
      return Either.left(spec.getLeft());
    }
    ServiceCallStateMachine run =
        new ServiceCallStateMachine(spec.get(), driverFactory.runContext(service.group(), c));
    return Either.right(
        RequestDriverFactory.create(
            exchange,
            writer ->
                new RequestDriver(
                    driverFactory.services(),
                    run,
                    new ServiceResponseWriter(writer, metadata.requestId()),
                    metadata,
                    service.name(),
                    onEnd)));
  }

  private Either<Failure, ServiceSpec> spec(
      Request request, RequestMetadata metadata, Service service, byte[] body) {
    String requestPath = Optional.ofNullable(request.getHttpURI().getPath()).orElse("/");
    // The service must see the path that the non-repeatable patterns are matched against, so
    // spellings that a service may normalise differently are refused.
    if (!requestPath.startsWith(service.prefix())
        || !requestPath.equals(Request.getPathInContext(request))
        || requestPath.contains("//")) {
      String text = "the path must be normalised, without escapes, parameters and empty segments";
      return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, text));
    }
    String rest = requestPath.substring(service.prefix().length());
    String path = rest.isEmpty() ? "/" : rest;
    String query = request.getHttpURI().getQuery();
    String target = query == null ? path : path + "?" + query;
    String organisation = metadata.organisation().name();
    byte[] digest =
        Digests.sha256(
            utf8(organisation),
            utf8(service.name()),
            utf8(request.getMethod()),
            utf8(target),
            body);
    boolean repeatable = !service.isNotRepeatable(request.getMethod(), path);
    return Either.right(
        new ServiceSpec(
            metadata.requestId(),
            organisation,
            request.getMethod(),
            target,
            headers(request),
            body,
            HexFormat.of().formatHex(digest),
            repeatable,
            metadata.idempotencyKey(),
            driverFactory.services().context().clock().nowMs() + metadata.deadlineMs()));
  }

  private static List<String> headers(Request request) {
    List<String> headers = new ArrayList<>();
    for (HttpField f : request.getHeaders()) {
      boolean forwarded = !Headers.NOT_FORWARDED.contains(f.getName().toLowerCase(Locale.ROOT));
      String value = f.getValue();
      if (forwarded && value != null && headers.size() < 2 * MAX_HEADERS) {
        headers.add(f.getName());
        headers.add(value);
      }
    }
    return headers;
  }

  private static byte[] utf8(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }
}
