package org.cowslipyoke.daemon.server;

import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.platform.ModelEngine.TokenSink;
import org.cowslipyoke.util.Clock;

/** Passes the engine's stream of one run on and notes what admission learns from it. */
final class TokenRelay implements TokenSink {

  private final Work work;
  private final ServerAdmission admission;
  private final ServerMetrics metrics;
  private final Clock clock;
  private final String expectedVersion;
  private final int fetchedTokens;
  private final long submittedMs;
  private boolean begun;
  private boolean wrongVersion;
  private boolean tokenSeen;
  private int recomputed;

  TokenRelay(
      Work work,
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
    if (begun) {
      return;
    }
    begun = true;
    // The keys of the prompt belong to the expected version; blocks found by them must not serve a
    // run of another one.
    wrongVersion = reusedTokens > 0 && !weightVersion.equals(expectedVersion);
    if (!wrongVersion) {
      recomputed = recomputedTokens;
      metrics.prompt(reusedTokens, fetchedTokens, recomputedTokens);
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

  boolean hasBegun() {
    return begun;
  }

  boolean isWrongVersion() {
    return wrongVersion;
  }
}
