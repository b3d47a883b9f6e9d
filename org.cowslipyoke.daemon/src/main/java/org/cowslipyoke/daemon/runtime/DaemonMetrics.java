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

/** Metrics of the runtime. The roles register their own. */
final class DaemonMetrics {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MeterRegistry meters;

  /** Strong references to the counters' sources, because the registry holds them weakly. */
  private final List<DoubleSupplier> sources = new ArrayList<>();

  DaemonMetrics(MeterRegistry meters) {
    this.meters = meters;
  }

  /** Registers the active versions and the state of the process. */
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

  /** Registers processor time, memory and network traffic. */
  void bindProcess(ControlCpuTime control, TransportStats frames) {
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

  /** Registers the counters of the document exchange. */
  void bindExchange(ExchangeStats stats) {
    bindDocumentCounter("head_read", stats.headReads);
    bindDocumentCounter("head_read_failed", stats.headReadFailures);
    bindDocumentCounter("pull", stats.pulls);
    bindDocumentCounter("pull_failed", stats.pullFailures);
    bindDocumentCounter("accepted", stats.accepted);
    bindDocumentCounter("refused", stats.refused);
    bindDocumentCounter("patch_sent", stats.patchesSent);
    bindDocumentCounter("whole_sent", stats.completeDocumentsSent);
    bindDocumentCounter("notice_sent", stats.noticesSent);
    bindDocumentCounter("catch_up", stats.catchUps);
  }

  private void bindDocumentCounter(String event, LongAdder count) {
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
        ? os.getProcessCpuTime() / NANOS_PER_SECOND
        : 0;
  }
}
