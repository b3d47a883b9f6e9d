package org.cowslipyoke.daemon.relay;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.failover.RunCopy;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PromptPlan;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * The request of one attempt to its server: sends it, sends it again if its pooled connection was
 * closed before any byte was written, and aborts it.
 */
final class ServerCall {

  /** Time by which Jetty's time-out exceeds the deadline of the request, in milliseconds. */
  private static final long JETTY_GRACE_MS = 2_000;

  private static final Logger LOG = LogManager.getLogger(ServerCall.class);

  private final RelayExchange exchange;
  private final BackendServer server;
  private final @Nullable PromptPlan plan;
  private final @Nullable RunCopy copy;
  private final Response.Listener listener;
  private volatile boolean sent;
  private volatile int connectionId;
  private volatile @Nullable Request jetty;
  private volatile int resends;

  /**
   * Creates a call that is not sent yet.
   *
   * @param listener gets the response
   */
  ServerCall(
      RelayExchange exchange,
      BackendServer server,
      @Nullable PromptPlan plan,
      @Nullable RunCopy copy,
      Response.Listener listener) {
    this.exchange = exchange;
    this.server = server;
    this.plan = plan;
    this.copy = copy;
    this.listener = listener;
  }

  /** Sends the request. */
  void send() {
    HttpFields out =
        exchange
            .services()
            .dialect()
            .serverRequestHeaders(
                exchange.caller().headers(), exchange.outbound(server, plan, copy));
    long leftMs = exchange.leftMs();
    Request r =
        exchange
            .services()
            .client()
            .newRequest(server.host(), server.port())
            .method(exchange.request().method())
            .path(exchange.request().target())
            .headers(h -> h.clear().add(out))
            .timeout(leftMs + JETTY_GRACE_MS, TimeUnit.MILLISECONDS)
            .idleTimeout(leftMs + JETTY_GRACE_MS, TimeUnit.MILLISECONDS)
            .onRequestBegin(this::claimSend);
    if (exchange.body().length > 0) {
      r.body(new BytesRequestContent(out.get("Content-Type"), exchange.body()));
    }
    int before = resends;
    r.send(listener);
    synchronized (this) {
      // Set only now: an abort before the sending has no effect in Jetty, but makes later ones
      // void. The request may have been sent again meanwhile, by the same thread or another.
      if (resends == before) {
        jetty = r;
      }
    }
    if (exchange.isOver()) {
      abort("the request ended");
    }
  }

  /** Stops a request that has ended while it waited for a connection, before it is written. */
  private void claimSend(Request r) {
    connectionId = HttpConnector.connectionId(r);
    if (exchange.claimSend()) {
      sent = true;
    } else {
      var unused = r.abort(new IllegalStateException("the request ended before it was sent"));
    }
  }

  /** Sends the request again if that is allowed; returns whether it did. */
  boolean resend(Result result) {
    if (resends >= HttpConnector.MAX_RESENDS
        || !HttpConnector.isNotSent(result.getFailure())
        || exchange.isOver()) {
      return false;
    }
    synchronized (this) {
      resends++;
      sent = false;
    }
    send();
    return true;
  }

  /** Records a failure that shows that the server did not get the request. */
  void recordFailure(@Nullable Throwable failure) {
    sent &= !HttpConnector.isNotSent(failure);
  }

  /** Returns the {@link HttpConnector#connectionId} of the last send, 0 if there was none. */
  int connectionId() {
    return connectionId;
  }

  /** Returns whether the server may have got the request. */
  boolean isSent() {
    return sent;
  }

  /** Aborts the request and closes its connection. */
  void abort(String reason) {
    Request r = jetty;
    if (r == null) {
      return;
    }
    try {
      var unused = r.abort(new IllegalStateException(reason));
    } catch (RuntimeException e) {
      // Jetty may throw for a request that is just being sent; the caller must still be answered.
      LOG.warn("abort failed: request={} reason={}", exchange.request().loggedId(), e.toString());
    }
  }
}
