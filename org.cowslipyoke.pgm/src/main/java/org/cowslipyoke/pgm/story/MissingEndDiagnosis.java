package org.cowslipyoke.pgm.story;

import java.util.Optional;

/** Finds the cause when no log line reports how a request ended. */
final class MissingEndDiagnosis {

  /** A log whose last line is within this time of the last line of the request ended before it. */
  private static final long LOG_END_TOLERANCE_MS = 1_000;

  private final RequestTrace trace;
  private final String vm;
  private final long endMs;

  MissingEndDiagnosis(RequestTrace trace, Submission submission) {
    this.trace = trace;
    this.vm = submission.vm();
    this.endMs = trace.timeOf(submission.last());
  }

  Finding call() {
    Optional<ContextLine> started = after(Event.STARTED);
    Optional<ContextLine> drained = after(Event.DRAINED).filter(d -> isBefore(d, started));
    Optional<ContextLine> stopping = stopping().filter(s -> isBefore(s, started));
    if (drained.isPresent()) {
      String running = drained.get().line().field("running");
      if (!running.equals("0")) {
        return Finding.of(
            Cause.CUT_BY_STOP,
            vm,
            stopping.map(s -> time(s.atMs())).orElse("?"),
            time(drained.get().atMs()),
            running);
      }
    } else if (started.isPresent()) {
      String at = time(started.get().atMs());
      return stopping
          .map(s -> Finding.of(Cause.STOP_UNFINISHED, vm, time(s.atMs()), at))
          .orElseGet(() -> Finding.of(Cause.PROCESS_ENDED, vm, at));
    }
    return withoutLifecycleLines();
  }

  private Finding withoutLifecycleLines() {
    Optional<LogGaps.Gap> s =
        trace.longestLogGap(vm, endMs, endMs + ContextCollector.MISSING_END_AFTER_MS);
    if (s.isPresent()) {
      return Finding.of(Cause.VM_SILENT, vm, time(s.get().fromMs()), time(s.get().toMs()));
    }
    long lastMs = trace.lastLineMs(vm);
    if (lastMs <= endMs + LOG_END_TOLERANCE_MS) {
      return Finding.of(Cause.LOG_ENDS, vm, time(lastMs));
    }
    return Finding.of(trace.isAnswersLogged() ? Cause.NOT_TOLD : Cause.ANSWERS_NOT_LOGGED);
  }

  /** Returns the stop that was in progress at the last line of the request or began after it. */
  private Optional<ContextLine> stopping() {
    Optional<ContextLine> before =
        trace
            .lastContextLine(f -> isOwn(f) && (f.is(Event.STOPPING) || f.is(Event.STARTED)), endMs)
            .filter(f -> f.is(Event.STOPPING));
    return before.or(() -> after(Event.STOPPING));
  }

  private Optional<ContextLine> after(Event event) {
    return trace.firstContextLine(f -> isOwn(f) && f.is(event), endMs);
  }

  private boolean isOwn(ContextLine f) {
    return f.line().vm().equals(vm);
  }

  private static boolean isBefore(ContextLine f, Optional<ContextLine> started) {
    return started.map(s -> f.atMs() <= s.atMs()).orElse(true);
  }

  private String time(long ms) {
    return trace.axis().format(ms);
  }
}
