package org.cowslipyoke.daemon.relay;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.daemon.relay.RelayDialect.ResponseHead;
import org.cowslipyoke.http.ResponseFraming;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.RelayRequest;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** Log lines of the attempts to run a request on a server. */
final class AttemptLog {

  private static final Logger LOG = LogManager.getLogger(AttemptLog.class);

  /** Maximum length of the text of a failure; Jetty's messages describe whole connections. */
  private static final int MAX_MESSAGE = 60;

  private AttemptLog() {}

  /**
   * Logs the first content of the response to a prompt beside what its placement expected.
   *
   * @param tookMs time since the attempt began, in milliseconds
   */
  static void firstToken(
      RelayExchange exchange, BackendServer server, PromptPlan plan, long tookMs) {
    LOG.info(
        "first token: request={} server={} tookMs={} expectedMs={} unread={} engineUnread={}"
            + " engineResident={} engineRunning={} held={} fetched={}",
        exchange.request().loggedId(),
        server.id(),
        tookMs,
        Math.round(plan.estimateMs()),
        plan.work().prefillTokens(),
        plan.load().prefillTokens(),
        plan.load().residentTokens(),
        plan.load().inFlight(),
        plan.heldTokens(),
        plan.fetchedTokens());
  }

  /** Logs a response that is passed on as complete. */
  static void passedOn(
      RelayExchange exchange,
      BackendServer server,
      @Nullable ResponseHead h,
      HttpFields headers,
      long bytes) {
    LOG.info(
        "answer passed on: request={} server={} status={} bytes={} framing={} tookMs={} tries={}",
        exchange.request().loggedId(),
        server.id(),
        h == null ? 0 : h.status(),
        bytes,
        ResponseFraming.of(headers),
        exchange.elapsedMs(),
        exchange.run().attempts());
  }

  /** Logs the first event of a stream that the caller has read in part before. */
  static void goesOn(RelayExchange exchange, BackendServer server) {
    RelayRequest r = exchange.request();
    RelayContext services = exchange.services();
    LOG.info(
        "stream goes on: request={} firstRequest={} lastEvent={} server={} software={}"
            + " serversReadMs={}",
        r.loggedId(),
        RelayRequest.logged(r.firstRequest()),
        RelayRequest.logged(r.lastEventId()),
        server.incarnation(),
        server.software(),
        services.clock().nowMs() - services.state().get().serversReadMs());
  }

  /** Returns a short form of a failure. */
  static String summary(@Nullable Throwable e) {
    if (e == null) {
      return "no answer";
    }
    String text = String.valueOf(e.getMessage());
    return e.getClass().getSimpleName()
        + ": "
        + text.substring(0, Math.min(MAX_MESSAGE, text.length()));
  }
}
