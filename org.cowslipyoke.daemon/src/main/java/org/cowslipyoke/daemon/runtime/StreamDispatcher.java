package org.cowslipyoke.daemon.runtime;

import java.util.function.BiPredicate;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.Resume;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamAcceptor;
import org.cowslipyoke.transport.StreamHandler;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches each incoming stream to the document exchange or to the role, depending on its first
 * message. Streams for the role are refused as not run until the role has started.
 */
final class StreamDispatcher implements StreamAcceptor {

  private static final String STARTING_MESSAGE = "the process is starting";
  private static final long RETRY_AFTER_MS = 500;

  private final BiPredicate<MessageStream, Message> exchange;
  private volatile @Nullable StreamAcceptor role;

  /**
   * Creates a dispatcher without a role.
   *
   * @param exchange handles a message; returns false if it does not belong to the document exchange
   */
  StreamDispatcher(BiPredicate<MessageStream, Message> exchange) {
    this.exchange = exchange;
  }

  /** Sets the role; later streams are dispatched to it. */
  void setRole(StreamAcceptor acceptor) {
    this.role = acceptor;
  }

  @Override
  public StreamHandler accept(Hello peer, MessageStream stream) {
    return new DispatchingHandler(peer);
  }

  /** Handler of one stream. Calls are made one at a time, so the field needs no lock. */
  private final class DispatchingHandler implements StreamHandler {

    private final Hello peer;
    private @Nullable StreamHandler target;

    DispatchingHandler(Hello peer) {
      this.peer = peer;
    }

    @Override
    public void onMessage(MessageStream stream, Message message) {
      StreamHandler t = target;
      if (t == null) {
        if (exchange.test(stream, message)) {
          return;
        }
        StreamAcceptor r = role;
        if (r == null) {
          refuse(stream, message);
          return;
        }
        t = r.accept(peer, stream);
        target = t;
      }
      t.onMessage(stream, message);
    }

    @Override
    public void onClosed(MessageStream stream, Failure failure) {
      StreamHandler t = target;
      if (t != null) {
        t.onClosed(stream, failure);
      }
    }
  }

  private static void refuse(MessageStream stream, Message message) {
    if (message instanceof Resume r) {
      stream.send(
          new Failed(r.requestId(), ErrorKind.NOT_FOUND, Outcome.UNKNOWN, STARTING_MESSAGE));
    } else {
      stream.send(new Refused(ErrorKind.NOT_READY, STARTING_MESSAGE, RETRY_AFTER_MS));
    }
  }
}
