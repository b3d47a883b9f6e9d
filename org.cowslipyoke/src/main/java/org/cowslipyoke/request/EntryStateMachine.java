package org.cowslipyoke.request;

import java.util.List;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;

/**
 * A state machine at the entry. Each method takes an event and returns the actions for the driver,
 * which calls one method at a time.
 */
public interface EntryStateMachine {

  /** Begins; called once. */
  List<Action> start();

  /** The ledger has decided about the claim. */
  List<Action> onClaim(ClaimDecision decision);

  /** A server has sent a message on a channel. Late and crossed messages are dropped. */
  List<Action> onMessage(long channel, Message message);

  /**
   * The stream of a channel has ended.
   *
   * @param failure kind {@code NO_SERVER} if the last message was certainly not sent
   */
  List<Action> onClosed(long channel, Failure failure);

  /** The clock has reached the time of the timer, or any other time. */
  List<Action> onTick();

  /** The caller's connection is gone. */
  List<Action> onCallerGone();

  /** The answer of a claimed request is recorded, or the ledger goes on trying by itself. */
  List<Action> onRecorded();

  /** Returns whether the run has ended; late events are still to be delivered. */
  boolean isDone();
}
