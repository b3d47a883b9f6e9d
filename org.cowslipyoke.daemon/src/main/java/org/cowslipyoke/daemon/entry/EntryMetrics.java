package org.cowslipyoke.daemon.entry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** Metrics of the entry role. Tag values are only names from the configuration and error kinds. */
final class EntryMetrics {

  private final MeterRegistry meters;
  private final Counter resumes;
  private final Counter starts;
  private final Counter probes;

  EntryMetrics(MeterRegistry meters, AtomicInteger running) {
    this.meters = meters;
    this.resumes = meters.counter("cowslipyoke.entry.resumes");
    this.starts = meters.counter("cowslipyoke.entry.starts");
    this.probes = meters.counter("cowslipyoke.entry.probes");
    Gauge.builder("cowslipyoke.entry.running", running, AtomicInteger::get).register(meters);
  }

  /**
   * Counts a request that has ended.
   *
   * @param target model or service of the configuration, {@code none} if the request names no
   *     existing one
   * @param kind error kind, {@code ok} if there was no error
   */
  void countRequest(String target, String kind) {
    meters.counter("cowslipyoke.entry.requests", "target", target, "kind", kind).increment();
  }

  /** Records the time from the arrival of a request to its first token. */
  void recordFirstToken(String target, long ms) {
    Timer.builder("cowslipyoke.entry.first.token")
        .tag("target", target)
        .publishPercentileHistogram()
        .register(meters)
        .record(Duration.ofMillis(ms));
  }

  void countResume() {
    resumes.increment();
  }

  void countStart() {
    starts.increment();
  }

  void countProbe() {
    probes.increment();
  }
}
