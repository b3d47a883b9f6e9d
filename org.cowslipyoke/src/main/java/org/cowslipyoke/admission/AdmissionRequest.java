package org.cowslipyoke.admission;

/**
 * The properties of a request by which a server decides on its admission.
 *
 * @param requestId id, unique within the organisation
 * @param weightVersion weight version that the sender requests
 * @param digest hexadecimal digest over organisation, model and prompt
 * @param promptTokens tokens of the prompt with any generated prefix
 * @param deadlineMs milliseconds left until the caller's deadline
 * @param suspect whether earlier runs with this digest were in flight when an engine crashed
 */
public record AdmissionRequest(
    String requestId,
    String organisation,
    String model,
    String adapter,
    String weightVersion,
    String digest,
    PriorityClass priority,
    int promptTokens,
    long deadlineMs,
    boolean suspect) {

  /** Returns whether the other object describes the same request of the same organisation. */
  public boolean isSameRequest(AdmissionRequest other) {
    return requestId.equals(other.requestId)
        && organisation.equals(other.organisation)
        && digest.equals(other.digest);
  }

  /** Returns a copy that is marked as a suspect. */
  AdmissionRequest asSuspect() {
    return new AdmissionRequest(
        requestId,
        organisation,
        model,
        adapter,
        weightVersion,
        digest,
        priority,
        promptTokens,
        deadlineMs,
        true);
  }
}
