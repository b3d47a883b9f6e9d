package org.cowslipyoke.transport;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;

/** A stream to a peer for which no connection could even be created. */
final class UnconnectedStream implements MessageStream {

  private final AtomicBoolean closed = new AtomicBoolean();

  UnconnectedStream(IoLoop loop, StreamHandler handler, String message) {
    loop.execute(
        () -> {
          if (closed.compareAndSet(false, true)) {
            handler.onClosed(this, Failure.of(ErrorKind.NO_SERVER, message));
          }
        });
  }

  @Override
  public long id() {
    return 0;
  }

  @Override
  public boolean send(Message message) {
    return false;
  }

  @Override
  public void close() {
    closed.set(true);
  }
}
