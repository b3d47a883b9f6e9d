package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import org.cowslipyoke.errors.Failure;

/** A plain service: a backend server that serves HTTP calls and is not a model engine. */
public interface PlainService {

  /**
   * A call.
   *
   * @param headers names and values, alternating
   */
  record Call(String requestId, String method, String path, List<String> headers, byte[] body) {}

  /** Response to a call. */
  record Reply(int status, List<String> headers, byte[] body) {}

  /**
   * Sends the call once. A failure of kind {@code NO_SERVER} states that no byte was sent; {@code
   * OUTCOME_UNKNOWN} that the call may have been executed.
   *
   * @param deadlineMs milliseconds to wait for the answer
   */
  Either<Failure, Reply> call(Call call, long deadlineMs);
}
