package org.cowslipyoke.daemon.relay;

import io.vavr.control.Either;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.Admission.AdmittedRequest;
import org.cowslipyoke.relay.DesiredState;
import org.cowslipyoke.relay.RelayRequest;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.jspecify.annotations.Nullable;

/** Handles the requests of callers: admits them and starts their exchanges. */
final class RelayHandler extends Handler.Abstract.NonBlocking {

  private static final Logger LOG = LogManager.getLogger(RelayHandler.class);

  /** Refusal of a request that a stopping process gets; another entry takes it at once. */
  private static final Failure STOPPING =
      new Failure(ErrorKind.SHUTTING_DOWN, "the process stops", 100);

  /** Maximum body size until a desired state was read, in bytes. */
  private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;

  private final RelayContext services;
  private final Set<RelayExchange> running = ConcurrentHashMap.newKeySet();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile boolean closing;
  private volatile boolean refusing;

  RelayHandler(RelayContext services) {
    this.services = services;
  }

  /** Makes each later response close its connection. */
  void closeConnections() {
    closing = true;
  }

  /** Refuses all later requests as not run. */
  void refuseNew() {
    refusing = true;
  }

  /** Returns the number of requests whose responses have not been written completely. */
  int unanswered() {
    return unanswered.get();
  }

  /** Takes resumable requests from servers that have stopped responding. */
  void checkServers() {
    for (RelayExchange x : running) {
      try {
        x.checkServer();
      } catch (RuntimeException e) {
        LOG.error("server not checked: request={}", x.request().id(), e);
      }
    }
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    final long startMs = services.clock().nowMs();
    request.addIdleTimeoutListener(e -> false);
    unanswered.incrementAndGet();
    Request.addCompletionListener(request, e -> unanswered.decrementAndGet());
    CallerChannel caller =
        new CallerChannel(request, response, callback, services.dialect(), closing);
    Either<Failure, RelayRequest> decoded = services.dialect().decodeRequest(request);
    if (decoded.isLeft()) {
      return refuse(caller, decoded.getLeft(), null);
    }
    RelayRequest r = decoded.get();
    if (refusing) {
      return refuse(caller, STOPPING, r);
    }
    DesiredState d = services.state().get().desired();
    int max = d == null ? DEFAULT_MAX_BODY_BYTES : d.maxBodyBytes();
    if (request.getLength() == 0) {
      begin(caller, r, new byte[0], startMs);
      return true;
    }
    Content.Source.asByteArrayAsync(
        request,
        max,
        new Promise.Invocable<byte[]>() {
          @Override
          public void succeeded(byte[] body) {
            begin(caller, r, body, startMs);
          }

          @Override
          public void failed(Throwable e) {
            bodyNotRead(caller, r, e);
          }
        });
    return true;
  }

  private void bodyNotRead(CallerChannel caller, RelayRequest r, Throwable e) {
    if (e instanceof IllegalStateException) {
      refuse(caller, Failure.of(ErrorKind.TOO_LARGE, "the body is too large"), r);
    } else {
      LOG.info("body not read: request={} reason={}", r.id(), e.toString());
      caller.cut(e);
    }
  }

  private void begin(CallerChannel caller, RelayRequest r, byte[] body, long startMs) {
    if (refusing) {
      // The body arrived after the others were refused; the process may end before its response.
      refuse(caller, STOPPING, r);
      return;
    }
    try {
      Either<Failure, AdmittedRequest> admitted = services.admission().admit(r);
      if (admitted.isLeft()) {
        refuse(caller, admitted.getLeft(), r);
        return;
      }
      RelayExchange x =
          new RelayExchange(services, caller, r, admitted.get(), body, startMs, running::remove);
      running.add(x);
      x.start();
    } catch (RuntimeException e) {
      LOG.error("request failed: request={}", r.id(), e);
      caller.sendFailure(Failure.of(ErrorKind.INTERNAL, "the entry failed"), r.id());
    }
  }

  private boolean refuse(CallerChannel caller, Failure f, @Nullable RelayRequest r) {
    services.metrics().own(f.kind());
    LOG.info(
        "refused: request={} kind={} reason={} stateAgeMs={}",
        r == null ? "" : r.id(),
        f.kind(),
        f.message(),
        services.state().operatorConfigAgeMs());
    caller.sendFailure(f, r == null ? null : r.id());
    return true;
  }
}
