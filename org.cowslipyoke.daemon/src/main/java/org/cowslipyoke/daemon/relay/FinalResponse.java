package org.cowslipyoke.daemon.relay;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.RequestLifecycle.Phase;
import org.jspecify.annotations.Nullable;

/**
 * What the caller of an exchange gets that ended without a complete response of a server, with its
 * log line.
 */
final class FinalResponse {

  private static final Logger LOG = LogManager.getLogger(FinalResponse.class);

  private final RelayExchange exchange;

  FinalResponse(RelayExchange exchange) {
    this.exchange = exchange;
  }

  /**
   * The end of an exchange.
   *
   * @param phase phase in which it was ended
   * @param attempt attempt that was in flight and is now aborted, null if there was none
   */
  record End(Phase phase, @Nullable RelayAttempt attempt) {

    /** Returns the id of the server of the attempt for the log. */
    String server() {
      return attempt == null ? "" : attempt.server().id();
    }
  }

  /** Answers with a failure, or breaks off a response that has begun. */
  void fail(End e, Failure f) {
    if (e.phase() == Phase.RESPONDING) {
      cut(e, "the answer can't go on: " + f.message());
    } else {
      sendFailure(e, f);
    }
  }

  /** Closes the connection of a caller that has left. */
  void callerLeft(End e) {
    RelayAttempt a = e.attempt();
    LOG.info(
        "caller left: request={} server={} received={} elapsedMs={}",
        exchange.request().loggedId(),
        e.server(),
        a == null ? "none" : a.progress(),
        exchange.elapsedMs());
    exchange.caller().cut(new IllegalStateException("the caller left"));
  }

  /** Breaks off the response. */
  void cut(End e, String reason) {
    RelayAttempt a = e.attempt();
    LOG.info(
        "answer cut: request={} server={} reason={} received={} elapsedMs={}",
        exchange.request().loggedId(),
        e.server(),
        reason,
        a == null ? "" : a.progress(),
        exchange.elapsedMs());
    exchange.caller().cut(new IllegalStateException(reason));
  }

  /** Answers with a failure before any part of a response. */
  void sendFailure(End e, Failure f) {
    exchange.services().metrics().own(f.kind());
    LOG.info(
        "own answer: request={} route={} service={} server={} kind={} reason={} tries={}"
            + " elapsedMs={}",
        exchange.request().loggedId(),
        exchange.route().name(),
        exchange.service(),
        e.server(),
        f.kind(),
        f.message(),
        exchange.run().attempts(),
        exchange.elapsedMs());
    exchange.caller().sendFailure(f, exchange.request().id());
  }
}
