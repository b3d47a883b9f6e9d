package org.cowslipyoke.daemon.server;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.errors.ErrorKind;

/** Metrics of the server role. */
final class ServerMetrics {

  /** Prompt tokens by source: {@code reused}, {@code fetched} or {@code recomputed}. */
  static final String PROMPT_TOKENS = "cowslipyoke.server.prompt.tokens";

  /** Bytes over links by direction and store VM. */
  static final String LINK_BYTES = "cowslipyoke.server.link.bytes";

  /** Refusals by kind. */
  static final String REFUSALS = "cowslipyoke.server.refusals";

  /** Ended runs by result. */
  static final String RUNS = "cowslipyoke.server.runs";

  /** Number of runs that the server may execute concurrently. */
  static final String ALLOWANCE = "cowslipyoke.server.allowance";

  private final MeterRegistry meters;
  private final Counter reused;
  private final Counter fetched;
  private final Counter recomputed;

  ServerMetrics(MeterRegistry meters) {
    this.meters = meters;
    this.reused = meters.counter(PROMPT_TOKENS, "source", "reused");
    this.fetched = meters.counter(PROMPT_TOKENS, "source", "fetched");
    this.recomputed = meters.counter(PROMPT_TOKENS, "source", "recomputed");
  }

  void bindAdmission(ServerAdmission admission) {
    gauge(ALLOWANCE, admission, ServerAdmission::allowance);
    gauge("cowslipyoke.server.active", admission, ServerAdmission::active);
    gauge("cowslipyoke.server.queued", admission, ServerAdmission::queued);
  }

  void countPromptTokens(int reusedTokens, int fetchedTokens, int recomputedTokens) {
    reused.increment(Math.max(0, reusedTokens - fetchedTokens));
    fetched.increment(Math.min(reusedTokens, fetchedTokens));
    recomputed.increment(recomputedTokens);
  }

  void countLinkBytes(String direction, String store, long bytes) {
    meters.counter(LINK_BYTES, "direction", direction, "store", store).increment((double) bytes);
  }

  void countRefusal(ErrorKind kind) {
    meters.counter(REFUSALS, "kind", kind.wireName()).increment();
  }

  void countRun(String result) {
    meters.counter(RUNS, "result", result).increment();
  }

  private void gauge(String name, ServerAdmission of, ToDoubleFunction<ServerAdmission> value) {
    var unused = meters.gauge(name, of, value);
  }
}
