package org.cowslipyoke.request;

import java.util.List;
import java.util.Optional;

/**
 * A call of a plain service as it was admitted at the entry; immutable.
 *
 * @param path path after the prefix of the service, with the query
 * @param headers names and values, alternating
 * @param digest hexadecimal digest over organisation, service, method, path and body
 * @param repeatable whether the configuration permits repeating the call
 * @param idempotencyKey present if the caller asks for at most one execution
 * @param deadlineAtMs monotonic time of the caller's deadline
 */
public record ServiceSpec(
    String requestId,
    String organisation,
    String method,
    String path,
    List<String> headers,
    byte[] body,
    String digest,
    boolean repeatable,
    Optional<String> idempotencyKey,
    long deadlineAtMs) {

  /** Returns whether the call may be sent a second time. */
  public boolean idempotent() {
    return repeatable && idempotencyKey.isEmpty();
  }
}
