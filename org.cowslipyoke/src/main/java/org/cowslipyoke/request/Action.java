package org.cowslipyoke.request;

import java.util.List;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.platform.VmList.Vm;

/**
 * What a state machine asks its driver to do, in the given order.
 *
 * <p>A channel is the state machine's number for one stream to one server.
 */
public sealed interface Action {

  /**
   * Sends a message to a server. The driver opens a stream for a channel that it does not know. If
   * the stream does not take the message, the driver reports the channel as closed with kind {@code
   * NO_SERVER}, which states that this message was not sent.
   */
  sealed interface ToServer extends Action {
    /** Returns the channel. */
    long channel();

    /** Returns the server behind the channel. */
    Vm server();

    /** Returns the message. */
    Message message();
  }

  /**
   * Claims the request; the answer is the event {@code onClaim}.
   *
   * @param termMs milliseconds until the claim's term ends
   */
  record Claim(String organisation, String key, String digest, long termMs) implements Action {}

  /** Probes a server on a new channel. */
  record Probe(long channel, Vm server, Message.Probe message) implements ToServer {}

  /** Gives a reservation back; the driver closes the channel afterwards. */
  record Release(long channel, Vm server, Message.Release message) implements ToServer {}

  /** Starts the request on the channel of its offer. */
  record Start(long channel, Vm server, Message.Start message) implements ToServer {}

  /** Attaches to the run. */
  record Resume(long channel, Vm server, Message.Resume message) implements ToServer {}

  /** Ends the run; the driver closes the channel afterwards. */
  record Cancel(long channel, Vm server, Message.Cancel message) implements ToServer {}

  /** Calls a plain service on a new channel. */
  record Call(long channel, Vm server, Message.ServiceCall message) implements ToServer {}

  /** Closes a channel without a message. */
  record Close(long channel) implements Action {}

  /** The run has begun on a server; comes before the first {@link Relay}, at most once. */
  record ReportStarted(String server, int reusedTokens) implements Action {}

  /**
   * Relays pieces to the caller.
   *
   * @param offset index of the first piece in the answer
   */
  record Relay(long offset, List<String> pieces) implements Action {}

  /** Records the answer of a claimed request; the answer is the event {@code onRecorded}. */
  record RecordCompletion(Completion completion) implements Action {}

  /** Records the answer of a claimed service call; the answer is the event {@code onRecorded}. */
  record RecordReply(Message.ServiceReply reply) implements Action {}

  /** Marks the claim as not run, so that the key may be claimed again. */
  record RecordNotRun() implements Action {}

  /** Sends an answer that was recorded by an earlier request; the state machine has ended. */
  record SendRecorded(byte[] recorded) implements Action {}

  /** Counts an engine crash for the digest in the suspects list. */
  record ReportCrash(String digest) implements Action {}

  /** Removes the digest from the suspects list. */
  record ClearSuspect(String digest) implements Action {}

  /** Asks for the event {@code onTick} at a monotonic time; replaces an earlier timer. */
  record SetTimer(long atMs) implements Action {}

  /** Ends the caller's answer; the state machine has ended. */
  record Finish(Completion completion) implements Action {}

  /** Answers the caller of a service; the state machine has ended. */
  record SendReply(String server, Message.ServiceReply reply) implements Action {}

  /** Ends the request with an error; the state machine has ended. */
  record Fail(Failure failure) implements Action {}
}
