package org.cowslipyoke.transport;

import org.cowslipyoke.message.Message;

/** One side of a multiplexed stream. Thread-safe. */
public interface MessageStream {

  /** Returns the id of the stream within its connection. */
  long id();

  /**
   * Queues a message.
   *
   * @return false if the stream is closed or its queue is full; a full queue closes the stream
   */
  boolean send(Message message);

  /** Closes the stream; the handler gets no further call. */
  void close();
}
