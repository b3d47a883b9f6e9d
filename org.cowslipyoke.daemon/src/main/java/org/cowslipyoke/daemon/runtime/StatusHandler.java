package org.cowslipyoke.daemon.runtime;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics}. */
final class StatusHandler extends Handler.Abstract.NonBlocking {

  private static final String JSON = "application/json";
  private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

  private final Readiness readiness;
  private final PrometheusMeterRegistry meters;

  StatusHandler(Readiness readiness, PrometheusMeterRegistry meters) {
    this.readiness = readiness;
    this.meters = meters;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    switch (Request.getPathInContext(request)) {
      case "/healthz" -> respond(response, callback, HttpStatus.OK_200, JSON, "{\"ok\":true}");
      case "/readyz" -> {
        boolean ready = readiness.isReady();
        int status = ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
        respond(response, callback, status, JSON, readiness.report().toString());
      }
      case "/metrics" -> respond(response, callback, HttpStatus.OK_200, TEXT, meters.scrape());
      default -> {
        return false;
      }
    }
    return true;
  }

  private static void respond(
      Response response, Callback callback, int status, String type, String body) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
    response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
  }
}
