package org.cowslipyoke.admission;

import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine.Load;
import org.cowslipyoke.platform.ModelEngine.State;
import org.jspecify.annotations.Nullable;

/** What is known about the own engine, with estimates derived from it. Not thread-safe. */
final class EngineView {

  /** Prefill rate assumed until the engine reports one, in tokens a second. */
  private static final double DEFAULT_PREFILL = 5_000;

  /** Run time assumed until the first run has ended, in milliseconds. */
  private static final double DEFAULT_RUN_MS = 1_000;

  /**
   * Shortest expected time to a first token, in milliseconds. Below it scheduling jitter of the
   * machine would make a first token count as slow.
   */
  private static final long MIN_FIRST_TOKEN_MS = 100;

  private static final double SAMPLE_WEIGHT = 0.2;

  private @Nullable State state;
  private boolean held;
  private double prefill = DEFAULT_PREFILL;
  private double decode;
  private double runMs = DEFAULT_RUN_MS;

  void state(State next) {
    state = next;
  }

  void unreachable() {
    state = null;
  }

  void hold(boolean on) {
    held = on;
  }

  void load(Load load) {
    prefill = load.prefillTokensPerSecond() > 0 ? load.prefillTokensPerSecond() : prefill;
    decode = load.decodeTokensPerSecond();
  }

  void ran(long tookMs) {
    runMs += SAMPLE_WEIGHT * (tookMs - runMs);
  }

  String weightVersion() {
    return state == null ? "" : state.weightVersion();
  }

  double prefillTokensPerSecond() {
    return prefill;
  }

  /** Returns why the engine cannot run the request with what it has loaded. */
  Optional<Failure> refusal(AdmissionRequest request) {
    if (state == null) {
      return refused(ErrorKind.NO_SERVER, "the engine is not reachable");
    }
    if (held || state.loading()) {
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

  /** Returns the milliseconds until a slot is free behind {@code ahead} earlier runs. */
  long waitMs(int ahead, int slots) {
    return Math.round(Math.max(0, ahead - slots + 1) * runMs / slots);
  }

  /**
   * Returns the milliseconds from submission to the first token.
   *
   * @param recomputedTokens tokens to compute, with those of runs that were submitted before
   */
  long firstTokenMs(long recomputedTokens) {
    double token = decode > 0 ? 1000 / decode : 0;
    return Math.round(recomputedTokens * 1000.0 / prefill + token);
  }

  /** Returns the milliseconds to a first token that count as expected. */
  long expectedFirstTokenMs(long recomputedTokens) {
    return Math.max(MIN_FIRST_TOKEN_MS, firstTokenMs(recomputedTokens));
  }

  long retryAfterMs() {
    return Math.round(runMs);
  }

  private Optional<Failure> refused(ErrorKind kind, String message) {
    return Optional.of(new Failure(kind, message, retryAfterMs()));
  }
}
