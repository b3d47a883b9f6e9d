package org.cowslipyoke.request;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions of one event, numbers channels and keeps the timer. */
final class Outbox {

  private List<Action> actions = new ArrayList<>();
  private long channels;
  private long armedMs = Long.MAX_VALUE;

  void add(Action action) {
    actions.add(action);
  }

  long newChannel() {
    return ++channels;
  }

  /** Forgets a timer that has fired. */
  void timerFired(long nowMs) {
    if (nowMs >= armedMs) {
      armedMs = Long.MAX_VALUE;
    }
  }

  /**
   * Returns the actions of the event.
   *
   * @param wakeAtMs time of the next timer; it is set only if it is earlier than the one that is
   *     set, because most messages of a stream only move it later
   */
  List<Action> flush(long wakeAtMs) {
    if (wakeAtMs < armedMs) {
      armedMs = wakeAtMs;
      actions.add(new Action.SetTimer(wakeAtMs));
    }
    List<Action> done = List.copyOf(actions);
    actions = new ArrayList<>();
    return done;
  }
}
