package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.relay.DomainOverflow;

/** Metrics and log lines on the requests that leave the failure domain of this entry. */
public final class OverflowReporter implements DomainOverflow.Listener {

  private static final Logger LOG = LogManager.getLogger(OverflowReporter.class);

  private final MeterRegistry meters;

  /** Bits of the share by service and domain. */
  private final Map<String, AtomicLong> shares = new ConcurrentHashMap<>();

  /** Creates a reporter. */
  public OverflowReporter(MeterRegistry meters) {
    this.meters = meters;
  }

  @Override
  public void stepped(String before, DomainOverflow.Status now) {
    now.shares().forEach((domain, share) -> recordShare(now.service(), domain, share));
    if (before.equals(now.regime())) {
      return;
    }
    Counter.builder("cowslipyoke_relay_overflow_changes")
        .tags("service", now.service(), "regime", now.regime(), "reason", now.reason())
        .register(meters)
        .increment();
    LOG.info(
        "overflow changed: service={} regime={} before={} reason={} homeMs={} shares={}",
        now.service(),
        now.regime(),
        before,
        now.reason(),
        Math.round(now.homeMs()),
        rounded(now.shares()));
  }

  private void recordShare(String service, String domain, double share) {
    shares
        .computeIfAbsent(service + "/" + domain, k -> register(service, domain))
        .set(Double.doubleToLongBits(share));
  }

  private AtomicLong register(String service, String domain) {
    AtomicLong bits = new AtomicLong();
    Gauge.builder("cowslipyoke_relay_leaving_share", bits, b -> Double.longBitsToDouble(b.get()))
        .tags("service", service, "domain", domain)
        .register(meters);
    return bits;
  }

  private static String rounded(Map<String, Double> shares) {
    StringBuilder text = new StringBuilder();
    shares.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(
            e ->
                text.append(text.isEmpty() ? "" : ",")
                    .append(String.format(Locale.ROOT, "%s:%.2f", e.getKey(), e.getValue())));
    return text.toString();
  }
}
