package org.cowslipyoke.daemon.relay;

import java.io.EOFException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipyoke.daemon.relay.RelayDialect.ResponseHead;
import org.cowslipyoke.failover.RunCopy;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.ResponseBuffer;
import org.cowslipyoke.http.ResponseFraming;
import org.cowslipyoke.relay.AttemptEnd;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.AttemptObserver.Ended;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.Prompt;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.PromptWork;
import org.cowslipyoke.relay.ServerLoad;
import org.cowslipyoke.relay.ServerNotice;
import org.cowslipyoke.util.MalformedResponseException;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request on a server. Jetty calls the listener methods sequentially; the
 * exchange guards its own state with a lock.
 */
final class RelayAttempt implements Response.Listener {

  /**
   * Time after the first content of a response after which its server has survived the beginning of
   * the response, in milliseconds.
   */
  private static final long BEGUN_MS = 100;

  private static final String NOT_CERTAIN =
      "the version of the stream is not certain for all entries";

  private final RelayExchange exchange;
  private final BackendServer server;
  private final @Nullable PromptPlan plan;
  private final ServerCall call;
  private final PromptWork work;
  private final ServerLoad load;
  private final EventSplitter events;
  private final ResponseBuffer buffer;
  private final long startMs;
  private volatile @Nullable ResponseHead head;
  private HttpFields headers = HttpFields.EMPTY;
  private final AtomicLong receivedBytes = new AtomicLong();
  private volatile long lastBytesMs = Long.MIN_VALUE;
  private boolean streaming;
  private boolean promptRead;
  private long connectionAgeMs;
  private long firstContentMs;
  private volatile boolean ended;
  private volatile boolean left;
  private volatile boolean connectTimedOut;
  private final AttemptObservers observers;
  private final Attempt attempt;
  private final EventGate gate;

  RelayAttempt(
      RelayExchange exchange,
      BackendServer server,
      @Nullable PromptPlan plan,
      @Nullable RunCopy copy) {
    this.exchange = exchange;
    this.server = server;
    this.plan = plan;
    this.call = new ServerCall(exchange, server, plan, copy, this);
    this.work = plan == null ? PromptWork.NONE : plan.work();
    this.load = exchange.services().loads().of(server);
    this.events = new EventSplitter(exchange.run().lastEventId());
    this.buffer = new ResponseBuffer(exchange.services().answers(), Relay.MAX_RESPONSE_BYTES);
    this.startMs = exchange.services().clock().nowMs();
    this.observers = new AttemptObservers(exchange.services().extensions().observers());
    this.attempt =
        new Attempt(
            exchange.request().id(),
            exchange.route(),
            exchange.service(),
            server,
            plan,
            exchange.run().attempts(),
            startMs);
    this.gate = gate();
  }

  private EventGate gate() {
    EventGate.Outlet outlet =
        new EventGate.Outlet() {
          @Override
          public void pass(byte[] complete, @Nullable String lastId) {
            relay(complete, lastId);
          }

          @Override
          public void refuse() {
            call.abort(NOT_CERTAIN);
          }
        };
    return exchange.binding().gate(server, () -> connectionAgeMs, outlet);
  }

  BackendServer server() {
    return server;
  }

  /** Returns the connection of the last send for the log, 0 if there was none. */
  int connectionId() {
    return call.connectionId();
  }

  /** Returns the progress of the response for the log. */
  String progress() {
    long agoMs = exchange.services().clock().nowMs() - lastBytesMs;
    long bytes = receivedBytes.get();
    return bytes == 0 ? "none" : bytes + " bytes, the last " + agoMs + " ms ago";
  }

  /** Sends the request. */
  void send() {
    load.recordStart(work);
    observers.started(attempt);
    call.send();
  }

  /** Returns the time since the request was sent or the last byte was received, in milliseconds. */
  long idleMs() {
    return exchange.services().clock().nowMs() - Math.max(startMs, lastBytesMs);
  }

  boolean isAt(BackendServer s) {
    return s.incarnation().equals(server.incarnation());
  }

  /** Returns whether the attempt ended because no connection was opened in time. */
  boolean isConnectTimedOut() {
    return connectTimedOut;
  }

  /** Closes the connection to a server that has stopped responding, which ends the attempt. */
  void leaveServer() {
    left = true;
    call.abort("the server does not respond");
  }

  /**
   * Returns whether the run may go on elsewhere. A server that crashes as the response begins may
   * have crashed because of the request.
   */
  boolean isContinuable() {
    return left || hasBegun();
  }

  /**
   * Aborts the exchange with the server and closes the connection. After a complete response the
   * server may still read the rest of the request.
   */
  void abort() {
    if (!ended) {
      call.abort("the request ended");
    }
  }

  @Override
  public void onHeaders(Response response) {
    headers = response.getHeaders().asImmutable();
    connectionAgeMs = HttpConnector.connectionAgeMs(response);
    ResponseHead h = exchange.services().dialect().decodeResponse(response.getStatus(), headers);
    head = h;
    if (!HttpConnector.isAnswerStatus(h.status())) {
      var unused = response.abort(new MalformedResponseException("no answer to this request"));
      return;
    }
    boolean own = exchange.request().id().equals(h.requestId());
    double rate = own ? h.rate() : ServerNotice.UNKNOWN_RATE;
    observers.headReceived(
        attempt, new ServerNotice(h.status(), h.notRun(), h.leaving(), h.retryAfterMs(), rate));
    Prompt prompt = exchange.request().prompt();
    if (plan != null && prompt != null && h.weights() > 0) {
      load.recordWeights(prompt.model(), h.weights());
    }
    if (!own) {
      var unused =
          response.abort(new MalformedResponseException("the answer belongs to another request"));
    }
    streaming = exchange.isStream() && h.sealed() && response.getStatus() / 100 == 2;
  }

  @Override
  public void onContent(Response response, ByteBuffer bytes) {
    HttpConnector.countContent(response, bytes.remaining());
    lastBytesMs = exchange.services().clock().nowMs();
    observers.contentReceived(attempt, lastBytesMs, !promptRead);
    if (!promptRead) {
      promptRead = true;
      firstContentMs = lastBytesMs;
      recordFirstContent();
    } else if (hasBegun()) {
      exchange.crashTracker().responseBegun();
    }
    exchange.services().suspects().recordContent(server.incarnation());
    if (!streaming) {
      collect(response, bytes);
      return;
    }
    receivedBytes.addAndGet(bytes.remaining());
    try {
      byte[] complete = events.add(bytes);
      if (complete.length > 0) {
        gate.pass(complete, events.lastId());
      }
    } catch (MalformedResponseException e) {
      var unused = response.abort(e);
    }
  }

  private boolean hasBegun() {
    return promptRead && exchange.services().clock().nowMs() - firstContentMs >= BEGUN_MS;
  }

  private void collect(Response response, ByteBuffer bytes) {
    if (!buffer.add(bytes)) {
      var unused = response.abort(new MalformedResponseException("the answer is too large"));
    }
  }

  private void relay(byte[] complete, @Nullable String lastId) {
    if (!exchange.claimResponse()) {
      return;
    }
    CallerChannel caller = exchange.caller();
    if (!exchange.run().isResponseStarted()) {
      exchange.run().recordResponseStarted();
      exchange.run().bind(server.software());
      if (exchange.request().lastEventId() != null) {
        AttemptLog.goesOn(exchange, server);
      }
      ResponseHead h = head;
      caller.startStream(
          h == null ? 200 : h.status(), exchange.services().dialect().responseHeaders(headers));
    }
    if (lastId != null) {
      exchange.run().recordEventSent(lastId);
    }
    if (!caller.sendPart(complete)) {
      exchange.cut("the caller does not read its answer");
    }
  }

  private void recordFirstContent() {
    long ms = exchange.services().clock().nowMs() - startMs;
    load.recordPrefillEnd(work);
    exchange.services().metrics().answered(exchange.service(), ms);
    if (plan != null) {
      AttemptLog.firstToken(exchange, server, plan, ms);
    }
  }

  /** Ends the attempt if the server has responded before it has read the whole request. */
  @Override
  public void onSuccess(Response response) {
    Request request = response.getRequest();
    int bodyBytes = exchange.body().length;
    if (HttpConnector.isCutShort(response, bodyBytes)) {
      end(new EOFException("the connection ended before the request was written"), request);
    } else if (!HttpConnector.isWritten(request, bodyBytes)) {
      end(null, request);
    }
  }

  @Override
  public void onComplete(Result result) {
    if (ended) {
      return;
    }
    if (!call.resend(result)) {
      end(result.getResponseFailure(), result.getRequest());
    }
  }

  /**
   * Ends the attempt.
   *
   * @param failure why there is no complete response, null if there is one
   */
  private void end(@Nullable Throwable failure, Request request) {
    ended = true;
    gate.end(
        () -> {
          try {
            completed(failure, request);
          } finally {
            buffer.release();
          }
        });
  }

  private void completed(@Nullable Throwable failure, Request request) {
    if (!promptRead) {
      load.recordPrefillEnd(work);
    }
    load.recordEnd(work);
    if (plan != null && promptRead) {
      exchange
          .services()
          .loads()
          .recordResidence(work.unsharedTokens(), exchange.services().clock().nowMs() - startMs);
    }
    ResponseHead h = head;
    observers.ended(attempt, outcome(failure, h));
    if (gate.isRefused()) {
      exchange.attemptEnded(this, AttemptEnd.BROKEN, NOT_CERTAIN);
      return;
    }
    if (failure != null || h == null) {
      call.recordFailure(failure);
      connectTimedOut = !call.isSent() && failure instanceof SocketTimeoutException;
      recordLostServer(failure, request);
      broken(AttemptLog.summary(failure));
      return;
    }
    if (h.misdirected()) {
      exchange.attemptEnded(this, AttemptEnd.MISDIRECTED, "status " + h.status());
    } else if (h.notRun()) {
      exchange.services().suspects().recordResponse(server.incarnation(), startMs);
      load.recordRefusal(plan != null && exchange.isReplaced(plan.weights()));
      exchange.attemptEnded(this, AttemptEnd.REFUSED, "status " + h.status());
    } else {
      answered(h);
    }
  }

  private Ended outcome(@Nullable Throwable failure, @Nullable ResponseHead h) {
    AttemptEnd end = null;
    if (failure != null || h == null) {
      end =
          call.isSent() && !HttpConnector.isNotSent(failure)
              ? AttemptEnd.BROKEN
              : AttemptEnd.NOT_SENT;
    } else if (h.misdirected()) {
      end = AttemptEnd.MISDIRECTED;
    } else if (h.notRun()) {
      end = AttemptEnd.REFUSED;
    } else if (h.status() >= 500 || !h.sealed()) {
      end = AttemptEnd.FAILED;
    }
    long tookMs = exchange.services().clock().nowMs() - startMs;
    return new Ended(end, h == null ? 0 : h.status(), exchange.isOver(), tookMs);
  }

  /**
   * Records a possible crash of the server: only the loss of the connection after the complete
   * request was written counts, not a time-out, a malformed response or a pooled connection that
   * was closed before.
   */
  private void recordLostServer(@Nullable Throwable failure, Request request) {
    boolean lost = failure instanceof EOFException || failure instanceof SocketException;
    if (lost && HttpConnector.isWritten(request, exchange.body().length)) {
      recordLostServer();
    }
  }

  private void recordLostServer() {
    if (!exchange.isOver()) {
      exchange.crashTracker().serverLost(server, startMs, hasBegun());
    }
  }

  private void answered(ResponseHead h) {
    exchange.services().suspects().recordResponse(server.incarnation(), startMs);
    load.recordResponse(exchange.services().clock().nowMs() - startMs);
    if (streaming && events.isWithinEvent()) {
      streamBroken("the stream ended within an event");
    } else if (streaming && !exchange.run().isResponseStarted()) {
      streamBroken("the stream has no event");
    } else if (streaming) {
      endStream(h);
    } else if (exchange.run().isResponseStarted()) {
      broken("status " + h.status() + " for the rest of a stream");
    } else if (!h.sealed() || impliesNotRun(h)) {
      broken("the answer has no receipt, status " + h.status());
    } else if (h.status() >= 500) {
      load.recordFailure(0.5);
      exchange.attemptEnded(this, AttemptEnd.FAILED, "status " + h.status());
    } else {
      passOn();
    }
  }

  /** Returns whether a status implies "not run"; it is passed on only if the server states so. */
  private static boolean impliesNotRun(ResponseHead h) {
    return h.status() == 429 || h.status() == 503 || h.status() == 408 || h.status() == 421;
  }

  /** Passes the buffered response on to the caller. */
  void passOn() {
    ResponseHead h = head;
    AttemptLog.passedOn(exchange, server, h, headers, buffer.size());
    if (h != null && h.status() / 100 == 2) {
      exchange.crashTracker().completed();
    }
    if (!exchange.answered()) {
      return;
    }
    exchange
        .caller()
        .sendComplete(
            h == null ? 502 : h.status(),
            exchange.services().dialect().responseHeaders(headers),
            buffer.size(),
            buffer::toByteArray);
  }

  private void endStream(ResponseHead h) {
    exchange.crashTracker().completed();
    AttemptLog.passedOn(exchange, server, h, headers, receivedBytes.get());
    exchange.services().streams().completed(exchange.request().id());
    if (exchange.answered()) {
      exchange.caller().endStream();
    }
  }

  /** Ends an attempt whose stream is incomplete, although no failure was reported. */
  private void streamBroken(String reason) {
    if (ResponseFraming.of(headers) == ResponseFraming.CONNECTION) {
      recordLostServer();
    }
    broken(reason);
  }

  private void broken(String reason) {
    AttemptEnd end = call.isSent() ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT;
    if (!exchange.isOver()) {
      load.recordFailure(1);
    }
    exchange.attemptEnded(this, end, reason);
  }
}
