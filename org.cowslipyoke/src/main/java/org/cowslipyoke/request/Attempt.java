package org.cowslipyoke.request;

import org.cowslipyoke.platform.VmList.Vm;

/** The run on one server as the entry sees it. */
final class Attempt {

  /** Delay before the second resume in a row; doubles with each further one. */
  private static final long FIRST_BACKOFF_MS = 100;

  private final Vm server;
  private final long firstTokenSilenceMs;
  private final long silenceMs;
  private long channel;
  private long heardMs;
  private long resumeAtMs = Long.MAX_VALUE;
  private int resumes;
  private final boolean startSent;
  private boolean startOnly;
  private boolean begun;
  private boolean tokensSeen;

  /**
   * Creates an attempt.
   *
   * @param startOnly whether only a start was sent; false if the entry attached to a run
   * @param firstTokenSilenceMs silence to allow before the first token, while the run is queued
   * @param silenceMs silence to allow between tokens
   */
  Attempt(
      long channel,
      Vm server,
      boolean startOnly,
      long nowMs,
      long firstTokenSilenceMs,
      long silenceMs) {
    this.channel = channel;
    this.server = server;
    this.startSent = startOnly;
    this.startOnly = startOnly;
    this.heardMs = nowMs;
    this.firstTokenSilenceMs = firstTokenSilenceMs;
    this.silenceMs = silenceMs;
  }

  Vm server() {
    return server;
  }

  /** Returns the channel, or -1 while a resume waits for its time. */
  long channel() {
    return channel;
  }

  /** Returns whether nothing but the start was exchanged, so "not sent" settles the attempt. */
  boolean isStartOnly() {
    return startOnly;
  }

  /**
   * Returns whether a refusal settles the attempt: a start was sent and the run has not begun. A
   * server also sends it on a resumed stream, when it returns queued work.
   */
  boolean mayBeRefused() {
    return startSent && !begun;
  }

  /** The server has stated that the run has begun. */
  void begun() {
    begun = true;
  }

  void heard(long nowMs) {
    heardMs = nowMs;
    startOnly = false;
  }

  /** New tokens have arrived. */
  void progressed() {
    begun = true;
    tokensSeen = true;
    resumes = 0;
  }

  /** Returns the time of the next resume or of the end of the allowed silence. */
  long wakeAtMs() {
    if (channel < 0) {
      return resumeAtMs;
    }
    return heardMs + (tokensSeen ? silenceMs : firstTokenSilenceMs);
  }

  /** Plans a resume on a new channel; the first one in a row is due at once. */
  void planResume(long nowMs) {
    startOnly = false;
    channel = -1;
    resumeAtMs = resumes == 0 ? nowMs : nowMs + (FIRST_BACKOFF_MS << (resumes - 1));
    resumes++;
  }

  /** Returns the resumes since the last new token. */
  int resumes() {
    return resumes;
  }

  void resumedOn(long newChannel, long nowMs) {
    channel = newChannel;
    heardMs = nowMs;
  }
}
