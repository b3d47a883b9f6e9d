package org.cowslipyoke.refresh;

import org.cowslipyoke.util.Clock;

/**
 * Limits the bytes that an entry sends of reports which it may leave out. The VM's link queues what
 * exceeds its rate, and everything that is sent later waits behind it, requests to servers
 * included. Thread-safe.
 */
public final class SendRateLimit {

  /**
   * Fraction of the link that the reports may take. In ordinary traffic 95 % of the half-seconds
   * take less than a quarter of a link of 7 Mbit/s.
   */
  static final double LINK_FRACTION = 0.4;

  /**
   * Time in which unused bytes add up, in milliseconds. At most this multiple of the rate is sent
   * at once, which a link carries in 200 ms.
   */
  static final long BURST_MS = 500;

  private static final double BYTES_PER_MEGABIT = 125_000;

  private final Clock clock;
  private final double bytesPerMs;
  private double available;
  private long updatedMs;

  /** Creates a limit for a link with a rate in Mbit/s. */
  public SendRateLimit(Clock clock, double linkMbps) {
    this.clock = clock;
    this.bytesPerMs = LINK_FRACTION * linkMbps * BYTES_PER_MEGABIT / 1_000;
    this.available = BURST_MS * bytesPerMs;
    this.updatedMs = clock.nowMs();
  }

  /** Acquires bytes to be sent now; returns false if they must not be sent. */
  public synchronized boolean tryAcquire(long bytes) {
    long now = clock.nowMs();
    available = Math.min(BURST_MS, available / bytesPerMs + now - updatedMs) * bytesPerMs;
    updatedMs = now;
    if (bytes > available) {
      return false;
    }
    available -= bytes;
    return true;
  }
}
