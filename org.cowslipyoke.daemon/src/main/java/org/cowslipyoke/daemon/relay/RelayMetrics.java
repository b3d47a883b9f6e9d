package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.cowslipyoke.errors.ErrorKind;

/** Counters and latency histograms of the relay. */
final class RelayMetrics {

  private final MeterRegistry meters;

  RelayMetrics(MeterRegistry meters) {
    this.meters = meters;
  }

  /** Records the time to the answer or to its first event. */
  void answered(String service, long ms) {
    Timer.builder("cowslipyoke_relay_first_answer")
        .tag("service", service)
        .publishPercentileHistogram()
        .register(meters)
        .record(Duration.ofMillis(ms));
  }

  /** Counts an attempt by its end. */
  void attempt(String service, String end) {
    counter("cowslipyoke_relay_attempts", "service", service, "end", end).increment();
  }

  /** Counts an answer of the entry's own. */
  void own(ErrorKind kind) {
    counter("cowslipyoke_relay_own_answers", "kind", kind.wireName()).increment();
  }

  /** Counts a decision about a request that is suspected to crash servers. */
  void suspect(String decision) {
    counter("cowslipyoke_relay_suspects", "decision", decision).increment();
  }

  private Counter counter(String name, String... tags) {
    return Counter.builder(name).tags(tags).register(meters);
  }
}
