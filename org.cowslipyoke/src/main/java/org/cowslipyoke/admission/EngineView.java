package org.cowslipyoke.admission;

import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine.Load;
import org.cowslipyoke.platform.ModelEngine.State;
import org.jspecify.annotations.Nullable;

/** Last known state of the server's engine, with time estimates based on it. Not thread-safe. */
final class EngineView {

  /** Prefill rate assumed until the engine reports one. */
  private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 5_000;

  /** Run time assumed until the first run has ended, in milliseconds. */
  private static final double DEFAULT_RUN_MS = 1_000;

  /**
   * Lower bound of the expected time to a first token, in milliseconds. Below it, scheduling jitter
   * of the machine would make a first token count as slow.
   */
  private static final long MIN_FIRST_TOKEN_MS = 100;

  private static final double RUN_TIME_SAMPLE_WEIGHT = 0.2;

  private @Nullable State state;
  private boolean swapping;
  private double prefillRate = DEFAULT_PREFILL_TOKENS_PER_SECOND;
  private double decodeRate;
  private double averageRunMs = DEFAULT_RUN_MS;

  void setState(State next) {
    state = next;
  }

  void setUnreachable() {
    state = null;
  }

  void setSwapping(boolean on) {
    swapping = on;
  }

  void onLoad(Load load) {
    prefillRate = load.prefillTokensPerSecond() > 0 ? load.prefillTokensPerSecond() : prefillRate;
    decodeRate = load.decodeTokensPerSecond();
  }

  void onRunEnded(long tookMs) {
    averageRunMs += RUN_TIME_SAMPLE_WEIGHT * (tookMs - averageRunMs);
  }

  String weightVersion() {
    return state == null ? "" : state.weightVersion();
  }

  double prefillTokensPerSecond() {
    return prefillRate;
  }

  /** Returns why the engine cannot run the request with its present weights; empty if it can. */
  Optional<Failure> refusal(AdmissionRequest request) {
    if (state == null) {
      return refused(ErrorKind.NO_SERVER, "the engine is not reachable");
    }
    if (swapping || state.loading()) {
      return refused(ErrorKind.WRONG_VERSION, "the engine loads other weights");
    }
    if (!state.model().equals(request.model())) {
      return refused(ErrorKind.WRONG_VERSION, "the engine serves another model");
    }
    String adapter = request.adapter();
    if (!adapter.isEmpty() && !state.adapters().contains(adapter)) {
      return refused(ErrorKind.WRONG_VERSION, "the engine has not loaded the adapter");
    }
    return Optional.empty();
  }

  /** Returns the expected milliseconds until a slot is free after {@code ahead} earlier runs. */
  long waitMs(int ahead, int slots) {
    return Math.round(Math.max(0, ahead - slots + 1) * averageRunMs / slots);
  }

  /**
   * Returns the expected milliseconds from submission to the first token.
   *
   * @param recomputedTokens tokens to compute, including those of runs that were submitted before
   */
  long firstTokenMs(long recomputedTokens) {
    double token = decodeRate > 0 ? 1000 / decodeRate : 0;
    return Math.round(recomputedTokens * 1000.0 / prefillRate + token);
  }

  /**
   * Returns the time to the first token with which the actual one is compared, in milliseconds; at
   * least {@link #MIN_FIRST_TOKEN_MS}.
   */
  long expectedFirstTokenMs(long recomputedTokens) {
    return Math.max(MIN_FIRST_TOKEN_MS, firstTokenMs(recomputedTokens));
  }

  long retryAfterMs() {
    return Math.round(averageRunMs);
  }

  private Optional<Failure> refused(ErrorKind kind, String message) {
    return Optional.of(new Failure(kind, message, retryAfterMs()));
  }
}
