package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.blocks.CacheView;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.platform.ModelEngine.CacheEvents;
import org.cowslipyoke.platform.ModelEngine.State;
import org.jspecify.annotations.Nullable;

/** Reads the engine's state, load report and cache events; each poll blocks. */
final class EngineMonitor {

  /** Interval of the polls in milliseconds. The load report itself lags by up to a second. */
  static final long INTERVAL_MS = 250;

  /** Failed reads in a row after which the engine counts as not reachable. */
  private static final int UNREACHABLE_AFTER = 2;

  private final ModelEngine engine;
  private final ServerAdmission admission;
  private final RunDriver driver;
  private final CacheView cache;
  private @Nullable String incarnation;
  private int failures;

  EngineMonitor(ModelEngine engine, ServerAdmission admission, RunDriver driver, CacheView cache) {
    this.engine = engine;
    this.admission = admission;
    this.driver = driver;
    this.cache = cache;
  }

  /** Reads everything once and lets the driver act on it. */
  synchronized void poll() {
    Either<Failure, State> state = engine.state();
    if (state.isLeft()) {
      failures++;
      if (failures >= UNREACHABLE_AFTER) {
        admission.onUnreachable();
      }
    } else {
      failures = 0;
      onState(state.get());
      engine.load().forEach(admission::onLoad);
      readCache();
    }
    driver.pump();
  }

  private void onState(State state) {
    String before = incarnation;
    incarnation = state.incarnation();
    if (before != null && !before.equals(incarnation)) {
      driver.crashed(before);
      cache.restart();
    }
    admission.onState(state);
  }

  private void readCache() {
    Either<Failure, CacheEvents> events = engine.cacheEvents(cache.sequence());
    if (events.isRight() && !cache.apply(events.get())) {
      engine.cachedBlocks().forEach(cache::reset);
    }
  }
}
