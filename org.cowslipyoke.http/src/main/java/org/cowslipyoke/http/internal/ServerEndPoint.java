package org.cowslipyoke.http.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to a server that is not trusted to keep to the protocol.
 *
 * <p>Jetty reads a reset connection, and one that was closed at this end, as one that ended in
 * order; an answer without a length would look whole after it. It reads heads without end, and it
 * leaves bytes that no request asked for to the next one. Here the first two are failures, answers
 * are bounded, and a connection with bytes of nobody is closed.
 */
final class ServerEndPoint extends SocketChannelEndPoint {

  /**
   * Bytes of an answer that are neither content nor, by {@link #FRAMING_PART}, the frames of its
   * chunks: heads, interim answers, trailers. The heads of today have some hundred.
   */
  static final long MAX_OVERHEAD_BYTES = 64 << 10;

  /** Frames of chunks, as a part of their content; an event of 20 bytes has 6 of them. */
  static final double FRAMING_PART = 0.5;

  private final long maxAnswerBytes;
  private final AtomicLong answerBytes = new AtomicLong();
  private final AtomicLong contentBytes = new AtomicLong();
  private volatile boolean awaiting;
  private volatile boolean ended;
  private boolean used;

  ServerEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      long maxAnswerBytes) {
    super(channel, selector, key, scheduler);
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** The answer to the last request is whole: bytes that come before the next one are spurious. */
  void answered() {
    awaiting = false;
  }

  /** Some bytes of the answer were content. */
  void content(int bytes) {
    contentBytes.addAndGet(bytes);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (ended) {
      return -1;
    }
    if (isInputShutdown()) {
      throw new ClosedChannelException();
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (filled > 0) {
      notIdle();
      checkBounds(filled);
    } else if (filled == -1) {
      ended = true;
      shutdownInput();
    }
    return filled;
  }

  /** Reads; an idle connection ends in order also by a reset or by bytes that belong to nobody. */
  private int read(ByteBuffer buffer) throws IOException {
    int start = buffer.position();
    int n;
    try {
      n = getChannel().read(buffer);
    } catch (IOException e) {
      if (awaiting) {
        throw e;
      }
      return -1;
    }
    if (n > 0 && !awaiting) {
      buffer.position(start);
      return -1;
    }
    return n;
  }

  private void checkBounds(int filled) throws IOException {
    long bytes = answerBytes.addAndGet(filled);
    long max = Math.round(MAX_OVERHEAD_BYTES + (1 + FRAMING_PART) * contentBytes.get());
    if (bytes > Math.min(max, maxAnswerBytes)) {
      throw new IOException("the answer has no end: " + bytes + " bytes");
    }
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    if (!awaiting) {
      if (used) {
        checkUnread();
      }
      used = true;
      answerBytes.set(0);
      contentBytes.set(0);
      awaiting = true;
    }
    return super.flush(buffers);
  }

  /** A kept connection that has ended, or holds bytes of nobody, is not used again. */
  private void checkUnread() throws IOException {
    if (!isOpen() || isInputShutdown()) {
      throw new NotSentException("the idle connection was closed", null);
    }
    int n;
    try {
      n = getChannel().read(ByteBuffer.allocate(1));
    } catch (IOException e) {
      throw new NotSentException("the server reset its idle connection", e);
    }
    if (n != 0) {
      String what = n < 0 ? "closed its idle connection" : "sent bytes that no request asked for";
      throw new NotSentException("the server " + what, null);
    }
  }
}
