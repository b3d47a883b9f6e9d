package org.cowslipyoke.daemon.runtime;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.lang.ref.Reference;
import org.junit.jupiter.api.Test;

/** Guards against counters that drop to 0 when their source is garbage-collected. */
class DaemonMetricsTest {

  @Test
  void countersSurviveGarbageCollection() {
    PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    ExchangeStats stats = new ExchangeStats();
    DaemonMetrics metrics = new DaemonMetrics(meters);
    metrics.bindExchange(stats);
    try {
      stats.pulls.add(3);
      System.gc();
      String page = meters.scrape();
      assertTrue(page.contains("cowslipyoke_documents_total{event=\"pull\"} 3.0"), page);
    } finally {
      Reference.reachabilityFence(metrics);
    }
  }
}
