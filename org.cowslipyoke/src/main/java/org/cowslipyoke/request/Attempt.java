package org.cowslipyoke.request;

import org.cowslipyoke.platform.VmList.Vm;

/** State that the entry keeps about the run of a request on one server. */
final class Attempt {

  /** Delay before the second consecutive resume; doubles with each further one. */
  private static final long FIRST_BACKOFF_MS = 100;

  private final Vm server;
  private final long firstTokenTimeoutMs;
  private final long idleTimeoutMs;
  private long channel;
  private long lastMessageMs;
  private long resumeAtMs = Long.MAX_VALUE;
  private int resumes;
  private final boolean startSent;
  private boolean onlyStartSent;
  private boolean started;
  private boolean tokensSeen;

  /**
   * Creates an attempt whose first message has been sent.
   *
   * @param onlyStartSent whether that message is a start; false if the entry attached to a run
   * @param firstTokenTimeoutMs time without a message after which the stream is resumed, before the
   *     first token; covers the time for which the run is queued
   * @param idleTimeoutMs the same time after the first token
   */
  Attempt(
      long channel,
      Vm server,
      boolean onlyStartSent,
      long nowMs,
      long firstTokenTimeoutMs,
      long idleTimeoutMs) {
    this.channel = channel;
    this.server = server;
    this.startSent = onlyStartSent;
    this.onlyStartSent = onlyStartSent;
    this.lastMessageMs = nowMs;
    this.firstTokenTimeoutMs = firstTokenTimeoutMs;
    this.idleTimeoutMs = idleTimeoutMs;
  }

  Vm server() {
    return server;
  }

  /** Returns the channel, or -1 while a resume is scheduled. */
  long channel() {
    return channel;
  }

  /**
   * Returns whether no message but the start was sent and none was received. Then an unsent start
   * proves that nothing has run.
   */
  boolean isOnlyStartSent() {
    return onlyStartSent;
  }

  /**
   * Returns whether a refusal proves that nothing has run: a start was sent and the run has not
   * started. A server also sends a refusal on a resumed stream, when it returns queued work.
   */
  boolean isSettledByRefusal() {
    return startSent && !started;
  }

  /** Records that the server has reported the start of the run. */
  void markStarted() {
    started = true;
  }

  void recordMessage(long nowMs) {
    lastMessageMs = nowMs;
    onlyStartSent = false;
  }

  /** Records that new tokens have arrived, which resets the count of resumes. */
  void recordNewTokens() {
    started = true;
    tokensSeen = true;
    resumes = 0;
  }

  /** Returns the time of the scheduled resume, or else the time at which the stream times out. */
  long wakeAtMs() {
    if (channel < 0) {
      return resumeAtMs;
    }
    return lastMessageMs + (tokensSeen ? idleTimeoutMs : firstTokenTimeoutMs);
  }

  /** Schedules a resume on a new channel; the first since the last new token is due at once. */
  void scheduleResume(long nowMs) {
    onlyStartSent = false;
    channel = -1;
    resumeAtMs = resumes == 0 ? nowMs : nowMs + (FIRST_BACKOFF_MS << (resumes - 1));
    resumes++;
  }

  /** Returns the number of resumes since the last new token. */
  int resumes() {
    return resumes;
  }

  void resumedOn(long newChannel, long nowMs) {
    channel = newChannel;
    lastMessageMs = nowMs;
  }
}
