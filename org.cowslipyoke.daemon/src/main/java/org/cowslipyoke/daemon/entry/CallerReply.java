package org.cowslipyoke.daemon.entry;

import java.util.List;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.request.Completion;

/** Where a run's answer goes. */
interface CallerReply {

  /** The run has begun on a server. */
  void begun(String server, int reusedTokens);

  /** Pieces of the answer. */
  void relay(long offset, List<String> pieces);

  /** The end of a model's answer. */
  void finish(Completion completion);

  /** The answer of a plain service. */
  void reply(String server, ServiceReply reply);

  /** An answer that an earlier request has recorded. */
  void replay(byte[] recorded);

  /** An error. */
  void refuse(Failure failure);
}
