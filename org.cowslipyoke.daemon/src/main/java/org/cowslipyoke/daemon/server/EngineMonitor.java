package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.blocks.CacheView;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.platform.ModelEngine.CacheEvents;
import org.cowslipyoke.platform.ModelEngine.State;
import org.jspecify.annotations.Nullable;

/** Polls the engine's state, load report and cache events. */
final class EngineMonitor {

  /** Polling interval, in milliseconds. The load report itself is up to one second old. */
  static final long INTERVAL_MS = 250;

  /** Consecutive failed reads after which the engine counts as unreachable. */
  private static final int UNREACHABLE_AFTER = 2;

  private final ModelEngine engine;
  private final ServerAdmission admission;
  private final RunScheduler scheduler;
  private final CacheView cache;
  private @Nullable String incarnation;
  private int failures;

  EngineMonitor(
      ModelEngine engine, ServerAdmission admission, RunScheduler scheduler, CacheView cache) {
    this.engine = engine;
    this.admission = admission;
    this.scheduler = scheduler;
    this.cache = cache;
  }

  /** Polls once, then runs the scheduler; blocks. */
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
    scheduler.dispatch();
  }

  private void onState(State state) {
    String before = incarnation;
    incarnation = state.incarnation();
    if (before != null && !before.equals(incarnation)) {
      scheduler.onEngineCrash(before);
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
