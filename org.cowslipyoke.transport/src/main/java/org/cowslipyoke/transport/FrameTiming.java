package org.cowslipyoke.transport;

/**
 * Timing of connections in milliseconds.
 *
 * @param connectTimeoutMs until TCP is connected and the peer's greeting has arrived
 * @param busyHeartbeatMs between heartbeats while streams are open
 * @param idleHeartbeatMs between heartbeats otherwise
 * @param busySilenceMs without a frame while streams are open, until the connection is silent
 * @param idleSilenceMs without a frame otherwise, until the connection is silent
 * @param idleCloseMs without a stream frame, until the connection is closed
 * @param closeTimeoutMs that {@link FrameNode#close} waits for queued frames to be written
 */
public record FrameTiming(
    long connectTimeoutMs,
    long busyHeartbeatMs,
    long idleHeartbeatMs,
    long busySilenceMs,
    long idleSilenceMs,
    long idleCloseMs,
    long closeTimeoutMs) {

  /** Returns the values of the design page. */
  public static FrameTiming defaults() {
    return new FrameTiming(1000, 1000, 15_000, 3000, 45_000, 60_000, 1000);
  }

  /** Age of the last received frame from which the peer is asked for a sign of life first. */
  long staleMs() {
    return busyHeartbeatMs + busyHeartbeatMs / 2;
  }

  /** Longest wait of a selector; bounds the error of all other values. */
  long tickMs() {
    return Math.max(1, Math.min(100, busyHeartbeatMs / 4));
  }
}
