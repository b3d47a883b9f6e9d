package org.cowslipyoke.transport;

import org.cowslipyoke.message.Message.Hello;

/** Supplies the handler of a stream that a peer opened. Called from an I/O thread. */
@FunctionalInterface
public interface StreamAcceptor {

  /** Returns the handler; it gets the first message right after. */
  StreamHandler accept(Hello peer, MessageStream stream);
}
