package org.cowslipyoke.relay;

/**
 * What a server states about itself in the head of a response.
 *
 * @param status status of the response
 * @param notRun whether the server states that it did not run the request
 * @param leaving whether the server states that it is shutting down
 * @param retryAfterMs time for which the server wants no requests of this entry, in milliseconds; 0
 *     if not stated or not valid
 * @param rate requests per second that the server accepts from all entries together; {@link
 *     #NO_RATE} if it names no rate, {@link #UNKNOWN_RATE} if it can't be read
 */
public record ServerNotice(
    int status, boolean notRun, boolean leaving, long retryAfterMs, double rate) {

  /** Rate of a server without a rate limit. */
  public static final double NO_RATE = Double.POSITIVE_INFINITY;

  /** Rate of a server that names a rate that can't be read, or of which nothing is known. */
  public static final double UNKNOWN_RATE = -1;

  /** Creates a notice of a server without a rate limit. */
  public ServerNotice(int status, boolean notRun, boolean leaving, long retryAfterMs) {
    this(status, notRun, leaving, retryAfterMs, NO_RATE);
  }
}
