package org.cowslipyoke.pgm.story;

import java.util.Optional;

/** Finds what became of a request whose end no line states. */
final class OpenDiagnosis {

  /** A VM that writes nothing for this long after the request is taken to have no more lines. */
  private static final long LAST_LINES_MS = 1_000;

  private final Story story;
  private final String vm;
  private final long endMs;

  OpenDiagnosis(Story story, Visit visit) {
    this.story = story;
    this.vm = visit.vm();
    this.endMs = story.timeOf(visit.last());
  }

  Finding call() {
    Optional<Fact> started = after(Event.STARTED);
    Optional<Fact> drained = after(Event.DRAINED).filter(d -> isBefore(d, started));
    Optional<Fact> stopping = stopping().filter(s -> isBefore(s, started));
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
    return withoutLifecycle();
  }

  private Finding withoutLifecycle() {
    Optional<Silences.Silence> s = story.silence(vm, endMs, endMs + Surroundings.OPEN_AFTER_MS);
    if (s.isPresent()) {
      return Finding.of(Cause.VM_SILENT, vm, time(s.get().fromMs()), time(s.get().toMs()));
    }
    long lastMs = story.lastLineMs(vm);
    if (lastMs <= endMs + LAST_LINES_MS) {
      return Finding.of(Cause.LOG_ENDS, vm, time(lastMs));
    }
    return Finding.of(story.isAnswersLogged() ? Cause.NOT_TOLD : Cause.ANSWERS_NOT_LOGGED);
  }

  /** Returns the stop that was under way at the request's last line or began after it. */
  private Optional<Fact> stopping() {
    Optional<Fact> before =
        story
            .lastFact(f -> isOwn(f) && (f.is(Event.STOPPING) || f.is(Event.STARTED)), endMs)
            .filter(f -> f.is(Event.STOPPING));
    return before.or(() -> after(Event.STOPPING));
  }

  private Optional<Fact> after(Event event) {
    return story.firstFact(f -> isOwn(f) && f.is(event), endMs);
  }

  private boolean isOwn(Fact f) {
    return f.line().vm().equals(vm);
  }

  private static boolean isBefore(Fact f, Optional<Fact> started) {
    return started.map(s -> f.atMs() <= s.atMs()).orElse(true);
  }

  private String time(long ms) {
    return story.axis().format(ms);
  }
}
