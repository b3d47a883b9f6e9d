package org.cowslipyoke.admission;

/**
 * What admission knows about a request.
 *
 * @param requestId id, unique within the organisation
 * @param weightVersion weight version that the sender asks for
 * @param digest hexadecimal digest over organisation, model and prompt
 * @param promptTokens tokens of the prompt with any generated prefix
 * @param deadlineMs milliseconds left until the caller's deadline
 * @param suspect whether the digest is a suspect
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

  /** Returns whether the other one belongs to the same request of the same organisation. */
  public boolean isSameRequest(AdmissionRequest other) {
    return requestId.equals(other.requestId)
        && organisation.equals(other.organisation)
        && digest.equals(other.digest);
  }

  /** Returns the request marked as a suspect. */
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
