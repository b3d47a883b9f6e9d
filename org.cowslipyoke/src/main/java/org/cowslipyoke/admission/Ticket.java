package org.cowslipyoke.admission;

import org.cowslipyoke.errors.Failure;

/**
 * One admitted run. It waits in the queue, then executes, then is finished. Its state is guarded by
 * {@link ServerAdmission}.
 */
public final class Ticket {

  /** A run that was dropped from the queue; it has not run. */
  public record Dropped(Ticket ticket, Failure reason) {}

  enum State {
    WAITING,
    ACTIVE,
    DONE
  }

  private final AdmissionRequest request;
  private final String weightVersion;
  private final long deadlineAtMs;
  private State state = State.WAITING;
  private long period;
  private long startedMs;

  Ticket(AdmissionRequest request, String weightVersion, long deadlineAtMs) {
    this.request = request;
    this.weightVersion = weightVersion;
    this.deadlineAtMs = deadlineAtMs;
  }

  /** Returns the admitted request. */
  public AdmissionRequest request() {
    return request;
  }

  /** Returns the weight version under which the run was admitted. */
  public String weightVersion() {
    return weightVersion;
  }

  /** Returns the monotonic time of the caller's deadline. */
  public long deadlineAtMs() {
    return deadlineAtMs;
  }

  State state() {
    return state;
  }

  long period() {
    return period;
  }

  long startedMs() {
    return startedMs;
  }

  void activate(long warmUpPeriod, long nowMs) {
    state = State.ACTIVE;
    period = warmUpPeriod;
    startedMs = nowMs;
  }

  void done() {
    state = State.DONE;
  }
}
