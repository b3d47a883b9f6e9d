package org.cowslipyoke.daemon.entry;

import java.util.List;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.request.Completion;

/** Receives the result of a request and writes it to the caller. */
interface ResponseSink {

  /** Called when a server has started the request. */
  void started(String server, int reusedTokens);

  /**
   * Writes generated text.
   *
   * @param offset index of the first piece in the whole completion, in tokens
   * @param pieces text of one token each
   */
  void relay(long offset, List<String> pieces);

  /** Ends a completion. */
  void finish(Completion completion);

  /** Writes the response of a plain service. */
  void reply(String server, ServiceReply reply);

  /** Writes the result that an earlier request with the same idempotency key recorded. */
  void replay(byte[] recorded);

  /** Writes an error. */
  void refuse(Failure failure);
}
