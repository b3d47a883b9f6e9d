package org.cowslipyoke.request;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions of one event, assigns channel numbers and tracks the timer that is set. */
final class ActionBuffer {

  private List<Action> actions = new ArrayList<>();
  private long lastChannel;
  private long timerAtMs = Long.MAX_VALUE;

  void add(Action action) {
    actions.add(action);
  }

  long newChannel() {
    return ++lastChannel;
  }

  /** Clears the timer if its time has come. */
  void timerFired(long nowMs) {
    if (nowMs >= timerAtMs) {
      timerAtMs = Long.MAX_VALUE;
    }
  }

  /**
   * Returns the actions of the event and starts an empty list for the next one.
   *
   * @param wakeAtMs time at which the timer is needed; the timer is set again only if this is
   *     earlier than its present time, because most messages of a stream only postpone it
   */
  List<Action> flush(long wakeAtMs) {
    if (wakeAtMs < timerAtMs) {
      timerAtMs = wakeAtMs;
      actions.add(new Action.SetTimer(wakeAtMs));
    }
    List<Action> done = List.copyOf(actions);
    actions = new ArrayList<>();
    return done;
  }
}
