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
 * Gives each incoming stream to the document exchange or to the role, by its first message. Before
 * the role has started, its streams are refused as not run.
 */
final class StreamDispatch implements StreamAcceptor {

  private static final String STARTING = "the process is starting";
  private static final long RETRY_MS = 500;

  private final BiPredicate<MessageStream, Message> exchange;
  private volatile @Nullable StreamAcceptor role;

  /**
   * Creates the dispatch.
   *
   * @param exchange returns whether the message belongs to the exchange and was handled
   */
  StreamDispatch(BiPredicate<MessageStream, Message> exchange) {
    this.exchange = exchange;
  }

  /** Starts to give streams to the role. */
  void open(StreamAcceptor acceptor) {
    this.role = acceptor;
  }

  @Override
  public StreamHandler accept(Hello peer, MessageStream stream) {
    return new Dispatched(peer);
  }

  /** Handler of one stream; calls come one at a time, so the field needs no lock. */
  private final class Dispatched implements StreamHandler {

    private final Hello peer;
    private @Nullable StreamHandler target;

    Dispatched(Hello peer) {
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
      stream.send(new Failed(r.requestId(), ErrorKind.NOT_FOUND, Outcome.UNKNOWN, STARTING));
    } else {
      stream.send(new Refused(ErrorKind.NOT_READY, STARTING, RETRY_MS));
    }
  }
}
