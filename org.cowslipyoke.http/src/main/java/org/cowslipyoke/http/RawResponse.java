package org.cowslipyoke.http;

import io.vavr.control.Either;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;

/** Evaluates responses whose body is not JSON. */
final class RawResponse {

  private static final int NO_CONTENT = 204;

  private RawResponse() {}

  /** Returns empty for status 204, the response for any other 2xx status, or the stated failure. */
  static Either<Failure, Optional<HttpConnector.BufferedResponse>> optionalContent(
      HttpConnector.BufferedResponse response) {
    if (response.status() == NO_CONTENT) {
      return Either.right(Optional.empty());
    }
    if (response.status() / 100 != 2) {
      return Either.left(JsonClient.statedFailure(response.status(), response.body()));
    }
    return Either.right(Optional.of(response));
  }
}
