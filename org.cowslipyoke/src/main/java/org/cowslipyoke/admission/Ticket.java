package org.cowslipyoke.admission;

import org.cowslipyoke.errors.Failure;

/**
 * The admission of one run. The run first waits in the queue, then is active in the engine, then is
 * finished. The mutable fields are guarded by the lock of {@link ServerAdmission}.
 */
public final class Ticket {

  /** A run that was removed from the queue before it was submitted. */
  public record Dropped(Ticket ticket, Failure reason) {}

  private final AdmissionRequest request;
  private final String weightVersion;
  private final long deadlineAtMs;
  private final int prefillTokens;
  private long warmUpPeriod;
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

  long warmUpPeriod() {
    return warmUpPeriod;
  }

  long startedMs() {
    return startedMs;
  }

  /** Returns the prompt tokens that the engine still had to compute when this run became active. */
  long backlogTokens() {
    return backlogTokens;
  }

  /** Returns the prompt tokens that the engine still has to compute for this run. */
  long prefillTokensLeft() {
    return prefilling ? prefillTokens : 0;
  }

  void activate(long period, long nowMs, long backlog) {
    warmUpPeriod = period;
    startedMs = nowMs;
    backlogTokens = backlog;
    prefilling = true;
  }

  void markPrefilled() {
    prefilling = false;
  }
}
