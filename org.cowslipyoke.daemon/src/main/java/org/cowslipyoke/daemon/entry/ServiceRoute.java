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

/** Turns a request below the path prefix of a plain service into a run. */
final class ServiceRoute {

  private static final int MAX_HEADERS = 100;

  private final RunSetup setup;

  ServiceRoute(RunSetup setup) {
    this.setup = setup;
  }

  /** Returns the service with the longest prefix of the path. */
  Optional<Service> find(Configuration c, String path) {
    return c.places().services().values().stream()
        .filter(s -> path.equals(s.prefix()) || path.startsWith(s.prefix() + "/"))
        .max(Comparator.comparingInt(s -> s.prefix().length()));
  }

  /** Returns the driver of the call, not yet started. */
  Either<Failure, RunDriver> begin(
      Exchange x, Configuration c, Caller caller, Service service, byte[] body, Runnable end) {
    Either<Failure, ServiceSpec> spec = spec(x.request(), caller, service, body);
    if (spec.isLeft()) {
      return Either.left(spec.getLeft());
    }
    ServiceCallStateMachine run =
        new ServiceCallStateMachine(spec.get(), setup.context(service.group(), c));
    return Either.right(
        RunSetup.driver(
            x,
            writer ->
                new RunDriver(
                    setup.services(),
                    run,
                    new ServiceReplyWriter(writer, caller.requestId()),
                    caller,
                    service.name(),
                    end)));
  }

  private Either<Failure, ServiceSpec> spec(
      Request request, Caller caller, Service service, byte[] body) {
    String raw = Optional.ofNullable(request.getHttpURI().getPath()).orElse("/");
    // The service must see the same path as the patterns of calls that must not be repeated, so
    // spellings that a service may read in another way are refused.
    if (!raw.startsWith(service.prefix())
        || !raw.equals(Request.getPathInContext(request))
        || raw.contains("//")) {
      String text = "the path must be in its shortest form, without escapes and parameters";
      return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, text));
    }
    String rest = raw.substring(service.prefix().length());
    String path = rest.isEmpty() ? "/" : rest;
    String query = request.getHttpURI().getQuery();
    String target = query == null ? path : path + "?" + query;
    String organisation = caller.organisation().name();
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
            caller.requestId(),
            organisation,
            request.getMethod(),
            target,
            headers(request),
            body,
            HexFormat.of().formatHex(digest),
            repeatable,
            caller.idempotencyKey(),
            setup.services().context().clock().nowMs() + caller.deadlineMs()));
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
