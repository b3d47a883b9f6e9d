package org.cowslipyoke.request;

import java.util.List;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;

/**
 * State machine of one request or service call at the entry. Each event method returns the actions
 * that the driver has to carry out. Not thread-safe: the driver calls one method at a time.
 */
public interface EntryStateMachine {

  /** Handles the arrival of the request; called once, before all other events. */
  List<Action> start();

  /** Handles the decision of the claim ledger about the claim. */
  List<Action> onClaim(ClaimDecision decision);

  /** Handles a message from a server. Late messages and those of other requests are dropped. */
  List<Action> onMessage(long channel, Message message);

  /**
   * Handles the end of a channel's stream.
   *
   * @param failure kind {@code NO_SERVER} if the last message was certainly not sent
   */
  List<Action> onClosed(long channel, Failure failure);

  /** Handles the timer; may also be called before the timer is due. */
  List<Action> onTick();

  /** Handles the loss of the caller's connection. */
  List<Action> onCallerGone();

  /**
   * Handles the end of the wait for a claim's record: the answer is recorded, or the driver goes on
   * trying to record it.
   */
  List<Action> onRecorded();

  /** Returns whether the state machine has ended; later events must still be delivered to it. */
  boolean isDone();
}
