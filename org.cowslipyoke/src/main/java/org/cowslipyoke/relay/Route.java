package org.cowslipyoke.relay;

import java.util.List;

/**
 * A route of the desired state.
 *
 * @param prefix path prefix that begins and ends with a slash
 * @param resumable whether another server may resume a stream after its last event
 * @param timeoutMs deadline of a request in milliseconds
 * @param objectiveMs target time to the response, or to the first event of a stream, in
 *     milliseconds; 0 if there is none
 * @param maxAttempts number of servers to which one request may be sent
 * @param priority priority of requests, 0 is the most urgent
 * @param open whether requests need no key
 * @param shares services with their traffic weights, all positive
 * @param gapMs longest pause between events of a stream that is on time, in milliseconds; 0 if
 *     there is no target
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
    List<Share> shares,
    long gapMs) {

  /** Creates a route without a target for the pauses of its streams. */
  public Route(
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
    this(
        name,
        host,
        prefix,
        kind,
        resumable,
        timeoutMs,
        objectiveMs,
        maxAttempts,
        priority,
        open,
        shares,
        0);
  }

  /** Traffic weight of a service in a route. */
  public record Share(String service, int weight) {}

  /** Returns whether a request may be retried after a run whose outcome is unknown. */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
  }

  /** Returns whether the route draws one of several services for each request. */
  public boolean isShared() {
    return shares.size() > 1;
  }

  /**
   * Chooses the service of one request by the traffic weights.
   *
   * @param draw random number, uniform in [0, 1)
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
