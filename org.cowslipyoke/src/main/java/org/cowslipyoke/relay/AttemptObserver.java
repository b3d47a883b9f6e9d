package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * Observes the attempts to run requests on servers. Called from several threads; must not block.
 */
public interface AttemptObserver {

  /**
   * One attempt.
   *
   * @param requestId id of the request
   * @param service service that the request is for
   * @param plan placement of a prompt, null for other requests
   * @param ordinal number of the attempt, from 1
   * @param startMs monotonic time at which it was sent, in milliseconds
   */
  record Attempt(
      String requestId,
      Route route,
      String service,
      BackendServer server,
      @Nullable PromptPlan plan,
      int ordinal,
      long startMs) {}

  /**
   * End of an attempt.
   *
   * @param end why there is no complete response, null if there is one
   * @param status status of the response, 0 if there is none
   * @param callerLeft whether the caller left or the time of the request was up before the server
   *     ended
   * @param tookMs duration in milliseconds
   */
  record Ended(@Nullable AttemptEnd end, int status, boolean callerLeft, long tookMs) {}

  /** Records that a request is about to be sent. */
  default void started(Attempt a) {}

  /** Records the head of a server's response. */
  default void headReceived(Attempt a, ServerNotice notice) {}

  /**
   * Records content of a response.
   *
   * @param nowMs monotonic time in milliseconds
   * @param first whether it is the first content
   */
  default void contentReceived(Attempt a, long nowMs, boolean first) {}

  /** Records the end of an attempt; called once for each attempt that was started. */
  default void ended(Attempt a, Ended e) {}
}
