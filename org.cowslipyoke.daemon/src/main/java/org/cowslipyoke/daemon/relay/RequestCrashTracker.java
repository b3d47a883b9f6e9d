package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.Prompt;
import org.cowslipyoke.relay.RelayRequest;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.suspect.CrashSuspects.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Reports the outcomes of one request to {@link CrashSuspects} and checks whether the request may
 * run. The fingerprint is computed only if there are suspects or a server was lost. Thread-safe.
 */
final class RequestCrashTracker {

  private static final Logger LOG = LogManager.getLogger(RequestCrashTracker.class);

  /** Maximum number of parts of a prompt in a log line. */
  private static final int MAX_LOGGED_PARTS = 8;

  private final CrashSuspects suspects;
  private final RelayMetrics metrics;
  private final RelayRequest request;
  private final @Nullable String organisation;
  private final byte[] body;
  private volatile @Nullable Long fingerprint;

  RequestCrashTracker(
      RelayContext services, RelayRequest request, @Nullable String organisation, byte[] body) {
    this.suspects = services.suspects();
    this.metrics = services.metrics();
    this.request = request;
    this.organisation = organisation;
    this.body = body;
  }

  /** Returns the refusal if the request must not run, else empty. */
  Optional<Failure> refusal() {
    if (suspects.isEmpty()) {
      return Optional.empty();
    }
    Verdict v = suspects.verdict(fingerprint());
    if (!v.isHeld()) {
      return Optional.empty();
    }
    recordDecision("refused", v.crashes(), "", v.holdMs());
    return Optional.of(
        new Failure(
            ErrorKind.SUSPECTED, "servers were lost at earlier runs of this request", v.holdMs()));
  }

  /**
   * Records that the connection to a server was lost after the request was sent to it.
   *
   * @param responseBegun whether content of the response was received
   */
  void serverLost(BackendServer server, long startMs, boolean responseBegun) {
    Verdict v = suspects.recordCrash(fingerprint(), server.incarnation(), startMs);
    metrics.suspect("recorded");
    LOG.info(
        "suspect recorded: request={} fingerprint={} crashes={} server={} holdMs={} begun={}"
            + " parts={}",
        request.id(),
        Long.toHexString(fingerprint()),
        v.crashes(),
        server.incarnation(),
        v.holdMs(),
        responseBegun,
        sharedParts());
  }

  /** Records that the request received a complete and successful response. */
  void completed() {
    if (suspects.isEmpty()) {
      return;
    }
    int crashes = suspects.completed(fingerprint());
    if (crashes > 0) {
      recordDecision("cleared", crashes, "", 0);
    }
  }

  private void recordDecision(String decision, int crashes, String server, long holdMs) {
    metrics.suspect(decision);
    LOG.info(
        "suspect {}: request={} fingerprint={} crashes={} server={} holdMs={}",
        decision,
        request.id(),
        Long.toHexString(fingerprint()),
        crashes,
        server,
        holdMs);
  }

  /** Returns the ids of the parts that other prompts may share, bounded for the log. */
  private List<String> sharedParts() {
    Prompt p = request.prompt();
    return p == null
        ? List.of()
        : p.sharedParts().stream().limit(MAX_LOGGED_PARTS).map(Prompt.Part::id).toList();
  }

  private long fingerprint() {
    Long f = fingerprint;
    if (f == null) {
      f =
          CrashSuspects.fingerprint(
              organisation, request.method(), request.host(), request.target(), body);
      fingerprint = f;
    }
    return f;
  }
}
