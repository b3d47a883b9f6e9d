package org.cowslipyoke.http;

import io.vavr.control.Either;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;

/** Answers whose body is not JSON. */
final class RawBody {

  private static final int NO_CONTENT = 204;

  private RawBody() {}

  /** Returns the answer if its status is 200, empty if it is 204, otherwise the stated failure. */
  static Either<Failure, Optional<HttpConnector.BufferedResponse>> optional(
      HttpConnector.BufferedResponse answer) {
    if (answer.status() == NO_CONTENT) {
      return Either.right(Optional.empty());
    }
    if (answer.status() / 100 != 2) {
      return Either.left(JsonCaller.stated(answer.status(), answer.body()));
    }
    return Either.right(Optional.of(answer));
  }
}
