package org.cowslipyoke.transport;

import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;

/**
 * Receives the messages of one stream. Calls come from an I/O thread, one at a time, and must not
 * block.
 */
public interface StreamHandler {

  /** Called for each message. */
  void onMessage(MessageStream stream, Message message);

  /**
   * Called at most once, when the stream ends for another reason than {@link MessageStream#close}.
   *
   * @param failure kind {@code NO_SERVER} if no byte of the stream was handed to the network, kind
   *     {@code INCOMPLETE} if bytes may have reached the peer
   */
  void onClosed(MessageStream stream, Failure failure);
}
