package org.cowslipyoke.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Narrows the servers that a request may be sent to. Filters apply alike to first attempts, to
 * retries and to streams that go on at another server.
 */
@FunctionalInterface
public interface CandidateFilter {

  /**
   * The request that is placed.
   *
   * @param id id of the request
   * @param service service that it is for
   * @param priority priority of the request, 0 is the most urgent
   * @param organisation owner of the request, null on an open route
   * @param attempts number of earlier attempts
   */
  record Placed(
      String id,
      Route route,
      String service,
      int priority,
      @Nullable String organisation,
      int attempts) {}

  /**
   * The servers that remain.
   *
   * @param retryAfterMs time until a server is available again if none remains, in milliseconds; 0
   *     if unknown
   */
  record Remaining(List<BackendServer> servers, long retryAfterMs) {}

  /** Returns the candidates that may get the request now. */
  Remaining filter(Placed request, FleetState state, List<BackendServer> candidates);
}
