package org.cowslipyoke.daemon.runtime;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.transport.TransportStats;

/** Metrics of the runtime; the roles add their own. */
final class DaemonMetrics {

  private static final double NANOS = 1e9;

  private final MeterRegistry meters;

  /** The registry refers to sources of counters weakly, so they are kept here. */
  private final List<DoubleSupplier> sources = new ArrayList<>();

  DaemonMetrics(MeterRegistry meters) {
    this.meters = meters;
  }

  /** Adds versions in force and the state of the process. */
  void bindState(
      ConfigurationHolder configuration,
      SuspectList suspects,
      PauseDetector pauses,
      Readiness readiness) {
    gauge("cowslipyoke.config.version", configuration::headVersion);
    for (Section s : Section.values()) {
      DoubleSupplier version =
          () ->
              configuration
                  .current()
                  .map(c -> c.sectionVersions().getOrDefault(s.wireName(), 0L))
                  .orElse(0L);
      gauge("cowslipyoke.section.version", version, "section", s.wireName());
    }
    gauge("cowslipyoke.suspects.version", () -> suspects.current().version());
    gauge("cowslipyoke.suspects.entries", () -> suspects.current().entries().size());
    gauge("cowslipyoke.ready", () -> readiness.isReady() ? 1 : 0);
    counter("cowslipyoke.pauses", pauses::pauseCount);
  }

  /** Adds processor time, memory and the control traffic. */
  void bindProcess(ControlTime control, TransportStats frames) {
    counter("cowslipyoke.process.cpu.seconds", DaemonMetrics::processCpuSeconds);
    counter("cowslipyoke.control.cpu.seconds", control::seconds);
    gauge(
        "cowslipyoke.heap.used.bytes",
        () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    counter("cowslipyoke.control.bytes", frames.controlIn()::bytes, "direction", "in");
    counter("cowslipyoke.control.bytes", frames.controlOut()::bytes, "direction", "out");
    counter("cowslipyoke.request.bytes", frames.requestIn()::bytes, "direction", "in");
    counter("cowslipyoke.request.bytes", frames.requestOut()::bytes, "direction", "out");
    gauge("cowslipyoke.connections", frames::connections);
    counter("cowslipyoke.connections.silent", frames::silentConnections);
    counter("cowslipyoke.protocol.errors", frames::protocolErrors);
  }

  /** Adds the counts of the document exchange. */
  void bindExchange(ExchangeStats stats) {
    document("head_read", stats.headReads);
    document("head_read_failed", stats.headReadFailures);
    document("pull", stats.pulls);
    document("pull_failed", stats.pullFailures);
    document("accepted", stats.accepted);
    document("refused", stats.refused);
    document("patch_sent", stats.patchesSent);
    document("whole_sent", stats.wholesSent);
    document("notice_sent", stats.noticesSent);
    document("catch_up", stats.catchUps);
  }

  private void document(String event, LongAdder count) {
    counter("cowslipyoke.documents", count::sum, "event", event);
  }

  private void gauge(String name, DoubleSupplier value, String... tags) {
    Gauge.builder(name, value::getAsDouble).tags(tags).strongReference(true).register(meters);
  }

  private void counter(String name, DoubleSupplier value, String... tags) {
    sources.add(value);
    FunctionCounter.builder(name, value, DoubleSupplier::getAsDouble).tags(tags).register(meters);
  }

  private static double processCpuSeconds() {
    return ManagementFactory.getOperatingSystemMXBean()
            instanceof com.sun.management.OperatingSystemMXBean os
        ? os.getProcessCpuTime() / NANOS
        : 0;
  }
}
