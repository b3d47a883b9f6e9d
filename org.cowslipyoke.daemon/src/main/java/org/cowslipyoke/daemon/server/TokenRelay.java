package org.cowslipyoke.daemon.server;

import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.platform.ModelEngine.TokenSink;
import org.cowslipyoke.util.Clock;

/** Relays the engine's stream of one run and reports the time to first token to admission. */
final class TokenRelay implements TokenSink {

  private final ScheduledRun work;
  private final ServerAdmission admission;
  private final ServerMetrics metrics;
  private final Clock clock;
  private final String expectedVersion;
  private final int fetchedTokens;
  private final long submittedMs;
  private boolean started;
  private boolean wrongVersion;
  private boolean tokenSeen;
  private int recomputed;

  TokenRelay(
      ScheduledRun work,
      ServerAdmission admission,
      ServerMetrics metrics,
      Clock clock,
      String expectedVersion,
      int fetchedTokens) {
    this.work = work;
    this.admission = admission;
    this.metrics = metrics;
    this.clock = clock;
    this.expectedVersion = expectedVersion;
    this.fetchedTokens = fetchedTokens;
    this.submittedMs = clock.nowMs();
  }

  @Override
  public void started(String weightVersion, int reusedTokens, int recomputedTokens) {
    if (started) {
      return;
    }
    started = true;
    // The block keys were derived from the expected version, so blocks found by them must not be
    // used for a run with other weights.
    wrongVersion = reusedTokens > 0 && !weightVersion.equals(expectedVersion);
    if (!wrongVersion) {
      recomputed = recomputedTokens;
      metrics.countPromptTokens(reusedTokens, fetchedTokens, recomputedTokens);
      work.run().started(new Started(weightVersion, reusedTokens, recomputedTokens));
    }
  }

  @Override
  public boolean token(long offset, String piece) {
    if (wrongVersion) {
      return false;
    }
    if (!tokenSeen) {
      tokenSeen = true;
      admission.onFirstToken(work.ticket(), clock.nowMs() - submittedMs, recomputed);
    }
    return work.run().token(offset, piece);
  }

  boolean hasStarted() {
    return started;
  }

  boolean isWrongVersion() {
    return wrongVersion;
  }
}
