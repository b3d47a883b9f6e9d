package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.Prompt;
import org.cowslipyoke.relay.RelayRequest;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.suspect.CrashSuspects.Verdict;
import org.cowslipyoke.suspect.PartSuspects;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Reports the outcomes of one request to {@link CrashSuspects} and {@link PartSuspects} and checks
 * whether the request may run. The fingerprint of the request is computed only if there are
 * suspects or a server was lost. Thread-safe.
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
  private final Clock clock;
  private final AtomicBoolean begun = new AtomicBoolean();
  private volatile @Nullable Long fingerprint;
  private volatile @Nullable List<Long> partPrints;

  RequestCrashTracker(
      RelayContext services, RelayRequest request, @Nullable String organisation, byte[] body) {
    this.suspects = services.suspects();
    this.clock = services.clock();
    this.metrics = services.metrics();
    this.request = request;
    this.organisation = organisation;
    this.body = body;
  }

  /** Returns the refusal if the request must not run, else empty. */
  Optional<Failure> refusal() {
    Optional<PartSuspects.Hold> held =
        suspects.parts().hasNoHold() ? Optional.empty() : suspects.parts().holdOf(partPrints());
    if (held.isPresent()) {
      return Optional.of(refusal(held.get()));
    }
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

  private Failure refusal(PartSuspects.Hold h) {
    long holdMs = h.untilMs() - clock.nowMs();
    metrics.suspect("part refused");
    LOG.info(
        "suspect part refused: request={} parts={} crashes={} holdMs={}",
        request.id(),
        PartHolds.hex(h.parts()),
        h.crashes(),
        holdMs);
    return new Failure(
        ErrorKind.SUSPECTED, "servers were lost at earlier prompts with the same part", holdMs);
  }

  /**
   * Records that the connection to a server was lost after the request was sent to it.
   *
   * @param responseBegun whether the server had begun to respond and went on
   */
  void serverLost(BackendServer server, long startMs, boolean responseBegun) {
    Verdict v = suspects.recordCrash(fingerprint(), server.incarnation(), startMs);
    if (!responseBegun) {
      suspects.parts().recordLoss(partPrints(), server.incarnation(), startMs);
    }
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
        loggedParts());
  }

  /** Records that the response has begun and goes on. */
  void responseBegun() {
    if (!begun.getAndSet(true)) {
      suspects.parts().recordBegun(partPrints());
    }
  }

  /** Records that the request received a complete and successful response. */
  void completed() {
    responseBegun();
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

  private List<Prompt.Part> sharedParts() {
    Prompt p = request.prompt();
    return p == null ? List.of() : p.sharedParts();
  }

  /** Returns ids and fingerprints of the parts that other prompts may share, for the log. */
  private List<String> loggedParts() {
    return sharedParts().stream()
        .limit(MAX_LOGGED_PARTS)
        .map(p -> p.id() + "=" + Long.toHexString(PartSuspects.fingerprint(p.id())))
        .toList();
  }

  /** Returns the fingerprints of the parts that other prompts may share. */
  private List<Long> partPrints() {
    List<Long> prints = partPrints;
    if (prints == null) {
      prints = sharedParts().stream().map(p -> PartSuspects.fingerprint(p.id())).toList();
      partPrints = prints;
    }
    return prints;
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
