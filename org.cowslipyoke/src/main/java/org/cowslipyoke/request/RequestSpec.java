package org.cowslipyoke.request;

import java.util.List;
import java.util.Optional;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.routing.RoutingRequest;

/**
 * What a model request asks for, fixed at its admission.
 *
 * @param requestId id given by the caller or generated
 * @param routing organisation, model, placement key and prompt tokens
 * @param digest hexadecimal digest over organisation, model and prompt
 * @param deadlineAtMs monotonic time of the caller's deadline
 * @param prompt rendered prompt, UTF-8
 * @param blockKeys chain of the prompt for {@code weightVersion}
 * @param idempotencyKey present if the request is not idempotent
 * @param skipTokens tokens that the caller already has from an earlier connection; such a request
 *     only attaches to the run that produced them, because a second run may give other tokens
 */
public record RequestSpec(
    String requestId,
    RoutingRequest routing,
    String adapter,
    String weightVersion,
    String digest,
    String priority,
    long deadlineAtMs,
    int maxTokens,
    byte[] prompt,
    List<BlockKey> blockKeys,
    Optional<String> idempotencyKey,
    long skipTokens) {

  /** Returns whether the request may be sent a second time. */
  public boolean idempotent() {
    return idempotencyKey.isEmpty();
  }
}
