package org.cowslipyoke.transport;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.jspecify.annotations.Nullable;

/** A stream of a connection. Handler calls are made on the connection's I/O thread only. */
final class FrameStream implements MessageStream {

  private static final Logger LOG = LogManager.getLogger(FrameStream.class);

  /** Frames that may wait to be written; more close the stream. */
  static final int MAX_QUEUED = 256;

  private enum State {
    OPEN,
    /** Refuses messages; the handler is still to be told. */
    FAILING,
    CLOSED
  }

  private final long id;
  private final FrameConnection connection;
  private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
  private final AtomicInteger queued = new AtomicInteger();
  private volatile @Nullable StreamHandler handler;
  private volatile boolean dropped;
  private volatile boolean handedOver;

  FrameStream(long id, FrameConnection connection, @Nullable StreamHandler handler) {
    this.id = id;
    this.connection = connection;
    this.handler = handler;
  }

  @Override
  public long id() {
    return id;
  }

  @Override
  public boolean send(Message message) {
    if (state.get() != State.OPEN) {
      return false;
    }
    Either<Failure, byte[]> frame = connection.encode(id, message);
    if (frame.isLeft()) {
      fail(frame.getLeft().message());
      return false;
    }
    if (queued.incrementAndGet() > MAX_QUEUED) {
      fail("more than " + MAX_QUEUED + " frames are queued");
      return false;
    }
    if (!connection.enqueue(this, frame.get(), MessageType.of(message).control)) {
      fail("the queue of the connection is full");
      return false;
    }
    return true;
  }

  @Override
  public void close() {
    if (state.getAndSet(State.CLOSED) == State.OPEN) {
      connection.closed(this, ErrorKind.CANCELLED, "closed");
    }
  }

  void setHandler(StreamHandler handler) {
    this.handler = handler;
  }

  boolean isHandedOver() {
    return handedOver;
  }

  /**
   * Called before a queued frame is written.
   *
   * @return false if the frame is to be dropped
   */
  boolean beforeWrite() {
    queued.decrementAndGet();
    if (dropped) {
      return false;
    }
    handedOver = true;
    return true;
  }

  void deliver(Message message) {
    StreamHandler target = handler;
    if (target == null || state.get() != State.OPEN) {
      return;
    }
    try {
      target.onMessage(this, message);
    } catch (RuntimeException e) {
      LOG.error("handler of a stream failed", e);
      fail("the handler failed");
    }
  }

  /** Closes the stream from any thread; the handler is told on the I/O thread. */
  void fail(String message) {
    if (state.compareAndSet(State.OPEN, State.FAILING)) {
      connection.failed(this, message);
    }
  }

  /** Ends the stream on the I/O thread; frames that are still queued are never written. */
  void finish(String message) {
    dropped = true;
    if (state.getAndSet(State.CLOSED) == State.CLOSED) {
      return;
    }
    StreamHandler target = handler;
    if (target == null) {
      return;
    }
    ErrorKind kind = handedOver ? ErrorKind.INCOMPLETE : ErrorKind.NO_SERVER;
    try {
      target.onClosed(this, Failure.of(kind, message));
    } catch (RuntimeException e) {
      LOG.error("handler of a stream failed", e);
    }
  }
}
