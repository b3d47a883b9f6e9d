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
import org.cowslipyoke.relay.CallerMemory;
import org.cowslipyoke.relay.RelayRequest;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** Handles the requests of callers: admits them and starts their exchanges. */
final class RelayHandler extends Handler.Abstract.NonBlocking {

  private static final Logger LOG = LogManager.getLogger(RelayHandler.class);

  /** Refusal of a request that a stopping process gets; another entry takes it at once. */
  private static final Failure STOPPING =
      new Failure(ErrorKind.SHUTTING_DOWN, "the process stops", 100);

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
        LOG.error("server not checked: request={}", x.request().loggedId(), e);
      }
    }
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    final long startMs = services.clock().nowMs();
    request.addIdleTimeoutListener(e -> false);
    CallerMemory.Holding memory = open(request);
    RequestBody body = new RequestBody(request, memory, services.timers());
    CallerChannel caller =
        new CallerChannel(request, response, callback, services.dialect(), closing, body, memory);
    Either<Failure, RelayRequest> decoded = services.dialect().decodeRequest(request);
    if (decoded.isLeft()) {
      return refuse(caller, decoded.getLeft(), null);
    }
    RelayRequest r = decoded.get();
    if (refusing) {
      return refuse(caller, STOPPING, r);
    }
    if (request.getLength() == 0) {
      begin(caller, r, new byte[0], startMs);
      return true;
    }
    Either<Failure, AdmittedRequest> admitted = services.admission().admit(r);
    if (admitted.isLeft()) {
      return refuse(caller, admitted.getLeft(), r);
    }
    memory.watchRequest(reason -> evict(caller, body, reason));
    body.read(
        admitted.get().desired().maxBodyBytes(), new BodyListener(caller, memory, r, startMs));
    body.limitTime(r.waitMs());
    return true;
  }

  /** Opens the memory of a request and closes it when its response has been written. */
  private CallerMemory.Holding open(Request request) {
    unanswered.incrementAndGet();
    Connection c = request.getConnectionMetaData().getConnection();
    services.connections().requestBegun(c);
    CallerMemory.Holding memory =
        c instanceof CallerConnection x ? x.takeHolding() : services.memory().open();
    memory.unwatch();
    if (c.getEndPoint() instanceof ReadAheadEndPoint e) {
      e.requestBegun();
    }
    Request.addCompletionListener(
        request,
        failure -> {
          unanswered.decrementAndGet();
          memory.close();
          if (c.getEndPoint() instanceof ReadAheadEndPoint e) {
            e.requestEnded();
          }
          services.connections().requestEnded(c);
        });
    return memory;
  }

  private static void evict(CallerChannel caller, RequestBody body, CallerMemory.Reason reason) {
    switch (reason) {
      case MEMORY -> body.refuse(RequestBody.noMemory());
      case PACE -> body.refuse(RequestBody.late());
      default -> caller.cut(new IllegalStateException("others need the connection"));
    }
  }

  private final class BodyListener implements RequestBody.Listener {
    private final CallerChannel caller;
    private final CallerMemory.Holding memory;
    private final RelayRequest request;
    private final long startMs;

    BodyListener(
        CallerChannel caller, CallerMemory.Holding memory, RelayRequest request, long startMs) {
      this.caller = caller;
      this.memory = memory;
      this.request = request;
      this.startMs = startMs;
    }

    @Override
    public void complete(byte[] body) {
      memory.unwatch();
      begin(caller, request, body, startMs);
    }

    @Override
    public void refused(Failure f) {
      refuse(caller, f, request);
    }

    @Override
    public void failed(Throwable cause) {
      LOG.info("body not read: request={} reason={}", request.loggedId(), cause.toString());
      caller.cut(cause);
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
      LOG.error("request failed: request={}", r.loggedId(), e);
      caller.sendFailure(Failure.of(ErrorKind.INTERNAL, "the entry failed"), r.id());
    }
  }

  private boolean refuse(CallerChannel caller, Failure f, @Nullable RelayRequest r) {
    services.metrics().own(f.kind());
    long ageMs = services.state().operatorConfigAgeMs();
    LOG.info(
        "refused: request={} kind={} reason={} stateAgeMs={}",
        r == null ? "" : r.loggedId(),
        f.kind(),
        f.message(),
        ageMs == Long.MAX_VALUE ? "" : ageMs);
    caller.sendFailure(f, r == null ? null : r.id());
    return true;
  }
}
