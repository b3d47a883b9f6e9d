package org.cowslipyoke.relay;

import java.util.List;

/**
 * A route of the desired state.
 *
 * @param prefix path prefix that begins and ends with a slash
 * @param resumable whether a stream may go on at another server after its last event
 * @param timeoutMs time after which a request gets its final answer
 * @param objectiveMs time to the answer, or to the first event, that operators aim at
 * @param maxAttempts servers to which one request may be sent
 * @param priority rank, 0 is the most urgent
 * @param open whether requests need no key
 * @param shares services with their weights; the weights of all shares are positive
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    boolean resumable,
    long timeoutMs,
    long objectiveMs,
    int maxAttempts,
    int priority,
    boolean open,
    List<Share> shares) {

  /** Part of a route's requests that goes to a service. */
  public record Share(String service, int weight) {}

  /** Returns whether a request may run again after a run whose result is not known. */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
  }

  /**
   * Returns the service of one request.
   *
   * @param draw uniform in [0, 1)
   */
  public String chooseService(double draw) {
    int total = shares.stream().mapToInt(Share::weight).sum();
    double left = draw * total;
    for (Share s : shares) {
      left -= s.weight();
      if (left < 0) {
        return s.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
