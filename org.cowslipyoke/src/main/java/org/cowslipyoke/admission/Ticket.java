package org.cowslipyoke.admission;

import org.cowslipyoke.errors.Failure;

/**
 * One admitted run. It waits in the queue, then executes, then is finished. Its state is guarded by
 * {@link ServerAdmission}.
 */
public final class Ticket {

  /** A run that was dropped from the queue; it has not run. */
  public record Dropped(Ticket ticket, Failure reason) {}

  private final AdmissionRequest request;
  private final String weightVersion;
  private final long deadlineAtMs;
  private final int prefillTokens;
  private long period;
  private long startedMs;
  private long backlogTokens;
  private boolean prefilling;

  Ticket(AdmissionRequest request, String weightVersion, long deadlineAtMs, int prefillTokens) {
    this.request = request;
    this.weightVersion = weightVersion;
    this.deadlineAtMs = deadlineAtMs;
    this.prefillTokens = prefillTokens;
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

  long period() {
    return period;
  }

  long startedMs() {
    return startedMs;
  }

  /** Returns the prompt tokens that the engine had still to compute when this run got its slot. */
  long backlogTokens() {
    return backlogTokens;
  }

  /** Returns the prompt tokens that the engine has still to compute for this run. */
  long prefillTokensLeft() {
    return prefilling ? prefillTokens : 0;
  }

  void activate(long warmUpPeriod, long nowMs, long backlog) {
    period = warmUpPeriod;
    startedMs = nowMs;
    backlogTokens = backlog;
    prefilling = true;
  }

  void prefilled() {
    prefilling = false;
  }
}
