package org.cowslipyoke.daemon.relay;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.RelayRequest;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.suspect.CrashSuspects.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Tells {@link CrashSuspects} how the runs of one request ended and asks whether it may run. The
 * fingerprint is computed only if there are suspects or a server was lost. Thread-safe.
 */
final class CrashWatch {

  private static final Logger LOG = LogManager.getLogger(CrashWatch.class);

  private final CrashSuspects suspects;
  private final RelayMetrics metrics;
  private final RelayRequest request;
  private final @Nullable String organisation;
  private final byte[] body;
  private volatile @Nullable Long fingerprint;

  CrashWatch(
      RelayServices services, RelayRequest request, @Nullable String organisation, byte[] body) {
    this.suspects = services.suspects();
    this.metrics = services.metrics();
    this.request = request;
    this.organisation = organisation;
    this.body = body;
  }

  /** Returns why the request must not run, if so. */
  Optional<Failure> refusal() {
    if (suspects.isEmpty()) {
      return Optional.empty();
    }
    Verdict v = suspects.verdict(fingerprint());
    if (!v.isHeld()) {
      return Optional.empty();
    }
    decided("refused", v.crashes(), "", v.holdMs());
    return Optional.of(
        new Failure(
            ErrorKind.SUSPECTED, "servers were lost at earlier runs of this request", v.holdMs()));
  }

  /** The connection to a server was lost after the request was sent to it. */
  void serverLost(BackendServer server, long startMs) {
    Verdict v = suspects.recordCrash(fingerprint(), server.incarnation(), startMs);
    decided("recorded", v.crashes(), server.incarnation(), v.holdMs());
  }

  /** The request was answered whole and with success. */
  void completed() {
    if (suspects.isEmpty()) {
      return;
    }
    int crashes = suspects.completed(fingerprint());
    if (crashes > 0) {
      decided("cleared", crashes, "", 0);
    }
  }

  private void decided(String decision, int crashes, String server, long holdMs) {
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
