package org.cowslipyoke.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.jspecify.annotations.Nullable;

/**
 * Value of a claim's row in the table, as JSON.
 *
 * @param answer recorded answer if it fits into the row
 * @param object key of the recorded answer in the object store if it is large
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ClaimRow(
    State state,
    String token,
    String digest,
    long termEndWallMs,
    byte @Nullable [] answer,
    @Nullable String object) {

  /** State of a claim; the names are stored. */
  enum State {
    CLAIMED,
    FINISHED,
    NOT_RUN
  }

  private static final ObjectMapper JSON = new ObjectMapper();

  static ClaimRow claimed(Claim c) {
    return new ClaimRow(State.CLAIMED, c.token(), c.digest(), c.termEndWallMs(), null, null);
  }

  static ClaimRow notRun(Claim c) {
    return new ClaimRow(State.NOT_RUN, c.token(), c.digest(), c.termEndWallMs(), null, null);
  }

  static ClaimRow finished(Claim c, byte @Nullable [] answer, @Nullable String object) {
    return new ClaimRow(State.FINISHED, c.token(), c.digest(), c.termEndWallMs(), answer, object);
  }

  String json() {
    try {
      return JSON.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim row can always be written as JSON", e);
    }
  }

  static Either<Failure, ClaimRow> parse(String json) {
    try {
      return Either.right(JSON.readValue(json, ClaimRow.class));
    } catch (JsonProcessingException e) {
      return Either.left(Failure.of(ErrorKind.INTERNAL, "the claim row is malformed"));
    }
  }
}
