package org.cowslipyoke.daemon.server;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Tokens;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;

/** The entry side of a stream to the role under test; records the messages of the role. */
final class RecordingStream implements MessageStream {

  private final LinkedBlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private final StreamHandler handler;
  private volatile boolean open = true;

  RecordingStream(ServerRole role) {
    this.handler = role.accept(new Message.Hello("entry-1", "entry", "golega"), this);
  }

  @Override
  public long id() {
    return 1;
  }

  @Override
  public boolean send(Message message) {
    return open && received.add(message);
  }

  @Override
  public void close() {
    open = false;
  }

  RecordingStream deliver(Message message) {
    handler.onMessage(this, message);
    return this;
  }

  /** Simulates the loss of the connection. */
  void disconnect() {
    open = false;
    handler.onClosed(this, Failure.of(ErrorKind.INCOMPLETE, "connection lost"));
  }

  /** Waits up to 10 s for the next message, which must have the given type. */
  <T extends Message> T next(Class<T> type) {
    try {
      Message m = received.poll(10, TimeUnit.SECONDS);
      if (!type.isInstance(m)) {
        throw new AssertionError("expected " + type.getSimpleName() + ", got " + m);
      }
      return type.cast(m);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Waits for tokens and returns their pieces, checking that they continue at the offset. */
  List<String> nextPieces(long from, int count) {
    List<String> pieces = new ArrayList<>();
    while (pieces.size() < count) {
      Tokens t = next(Tokens.class);
      if (t.offset() != from + pieces.size()) {
        throw new AssertionError("tokens at " + t.offset() + " after " + pieces.size());
      }
      pieces.addAll(t.pieces());
    }
    return pieces;
  }

  boolean isEmpty() {
    return received.isEmpty();
  }
}
