package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.EngineProfile;
import org.cowslipyoke.relay.EngineProfiles;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.profile.EstimateErrors;
import org.cowslipyoke.relay.profile.LearnedEngineProfiles.FirstTokenListener;
import org.cowslipyoke.util.Clock;

/** Metrics and log lines of the error of expected times to the first token. */
public final class EstimateMetrics implements FirstTokenListener {

  private static final Logger LOG = LogManager.getLogger(EstimateMetrics.class);

  private final Clock clock;
  private final EngineProfiles profiles;
  private final RelayMetrics metrics;
  private final EstimateErrors errors;

  /** Creates metrics without times. */
  public EstimateMetrics(Clock clock, EngineProfiles profiles, MeterRegistry meters) {
    this.clock = clock;
    this.profiles = profiles;
    this.metrics = new RelayMetrics(meters);
    this.errors = new EstimateErrors();
  }

  @Override
  public void onFirstToken(Attempt a, double tookMs) {
    PromptPlan plan = a.plan();
    if (plan == null) {
      return;
    }
    metrics.firstTokenRatio(a.service(), tookMs / Math.max(1, plan.estimateMs()));
    EngineProfile p = profiles.of(a.server());
    for (EstimateErrors.Summary s :
        errors.record(a.service(), tookMs, plan.estimateMs(), clock.nowMs())) {
      LOG.info(
          "first token estimates: service={} count={} medianRatio={} p90Ratio={} overheadMs={}"
              + " tokensPerMs={} queued={} longQueued={}",
          s.service(),
          s.count(),
          decimal(s.median()),
          decimal(s.p90()),
          decimal(p.firstTokenOverheadMs()),
          decimal(1 / p.prefillMs(1, 0)),
          decimal(p.queue().fraction()),
          decimal(p.queue().longFraction()));
    }
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
