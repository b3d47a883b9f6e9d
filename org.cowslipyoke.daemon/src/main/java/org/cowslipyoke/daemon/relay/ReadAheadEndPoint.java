package org.cowslipyoke.daemon.relay;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.WritePendingException;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * End point of a caller's connection that detects a disconnect while a request is in progress.
 *
 * <p>Jetty reads nothing from a connection between the end of a request and the end of its
 * response, so it detects a close only when it writes. This end point reads ahead during that time:
 * it buffers the bytes of a next request for Jetty and reports the end of the stream.
 */
final class ReadAheadEndPoint implements EndPoint, EndPoint.Wrapper {

  /**
   * Maximum bytes of a next request that are buffered; reading ahead stops when the buffer is full.
   */
  private static final int MAX_AHEAD = 8 << 10;

  private final EndPoint endPoint;
  private final Clock clock;
  private ByteBuffer ahead = BufferUtil.EMPTY_BUFFER;
  private @Nullable Callback reader;
  private @Nullable Runnable onDisconnect;
  private boolean reading;
  private boolean ended;

  /** Requests in progress; the next one may begin before the last one has ended. */
  private int requests;

  private long headBeginMs = Long.MAX_VALUE;

  ReadAheadEndPoint(EndPoint endPoint) {
    this(endPoint, Clock.system());
  }

  ReadAheadEndPoint(EndPoint endPoint, Clock clock) {
    this.endPoint = endPoint;
    this.clock = clock;
  }

  /** Records that the head of a request was read. */
  synchronized void requestBegun() {
    requests++;
    headBeginMs = Long.MAX_VALUE;
  }

  /** Ends watching, so that the connection holds nothing of its last request. */
  synchronized void requestEnded() {
    requests--;
    if (requests == 0) {
      onDisconnect = null;
    }
  }

  /**
   * Returns for how long the head of a request has been incomplete, in milliseconds; negative if
   * there is none.
   */
  synchronized long incompleteHeadMs() {
    return headBeginMs == Long.MAX_VALUE ? -1 : clock.nowMs() - headBeginMs;
  }

  /**
   * Starts watching for a disconnect of the caller. One that has been received already is reported
   * before this method returns, since a process that was paused or has just started may read a
   * request after its caller left, and the selector may be busy.
   *
   * @param left called at most once, from any thread
   */
  void watch(Runnable left) {
    synchronized (this) {
      onDisconnect = left;
      if (reading || reader != null || ended) {
        return;
      }
      reading = true;
    }
    readable();
  }

  private void requestFill() {
    Callback ready = Callback.from(this::readable, e -> failed());
    if (!endPoint.tryFillInterested(ready)) {
      synchronized (this) {
        reading = false;
      }
    }
  }

  /** Handles a readable connection: notifies Jetty if it is waiting to read, else reads ahead. */
  private void readable() {
    Callback waiting;
    Runnable left = null;
    boolean more = false;
    synchronized (this) {
      reading = false;
      waiting = reader;
      reader = null;
      if (waiting == null) {
        if (!BufferUtil.hasContent(ahead)) {
          ahead = BufferUtil.allocate(MAX_AHEAD);
        }
        int n = fillAhead();
        if (!BufferUtil.hasContent(ahead)) {
          ahead = BufferUtil.EMPTY_BUFFER;
        }
        ended = n < 0;
        left = ended ? onDisconnect : null;
        more = !ended && (n == 0 || BufferUtil.space(ahead) > 0);
        reading = more;
        onDisconnect = ended ? null : onDisconnect;
      }
    }
    if (waiting != null) {
      waiting.succeeded();
    } else if (left != null) {
      left.run();
    } else if (more) {
      requestFill();
    }
  }

  private int fillAhead() {
    try {
      return endPoint.fill(ahead);
    } catch (IOException e) {
      return -1;
    }
  }

  /** Handles a failed read interest, by which Jetty reports idle time-outs and closes. */
  private void failed() {
    Callback waiting;
    Runnable left;
    synchronized (this) {
      reading = false;
      waiting = reader;
      reader = null;
      left = endPoint.isOpen() ? null : onDisconnect;
      onDisconnect = endPoint.isOpen() ? onDisconnect : null;
    }
    if (waiting != null) {
      waiting.failed(new IOException("connection failed"));
    }
    if (left != null) {
      left.run();
    }
  }

  /**
   * Reads for Jetty. Holds the lock while it reads from the connection, since bytes that {@link
   * #readable} reads ahead meanwhile would be delivered after later ones.
   */
  @Override
  public synchronized int fill(ByteBuffer buffer) throws IOException {
    int n;
    if (BufferUtil.hasContent(ahead)) {
      n = BufferUtil.append(buffer, ahead);
      ahead = BufferUtil.hasContent(ahead) ? ahead : BufferUtil.EMPTY_BUFFER;
    } else {
      n = ended ? -1 : endPoint.fill(buffer);
    }
    if (n > 0 && requests == 0 && headBeginMs == Long.MAX_VALUE) {
      headBeginMs = clock.nowMs();
    }
    return n;
  }

  @Override
  public void fillInterested(Callback callback) {
    if (!tryFillInterested(callback)) {
      throw new ReadPendingException();
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    synchronized (this) {
      if (reader != null) {
        return false;
      }
      if (!BufferUtil.hasContent(ahead) && !ended) {
        reader = callback;
        if (reading) {
          return true;
        }
        reading = true;
        callback = Callback.NOOP;
      }
    }
    if (callback == Callback.NOOP) {
      requestFill();
    } else {
      callback.succeeded();
    }
    return true;
  }

  @Override
  public synchronized boolean isFillInterested() {
    return reader != null;
  }

  @Override
  public EndPoint unwrap() {
    return endPoint;
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    return endPoint.flush(buffers);
  }

  @Override
  public void write(Callback callback, ByteBuffer... buffers) throws WritePendingException {
    endPoint.write(callback, buffers);
  }

  @Override
  public void write(boolean last, ByteBuffer buffer, Callback callback) {
    endPoint.write(last, buffer, callback);
  }

  @Override
  public Callback cancelWrite(Throwable cause) {
    return endPoint.cancelWrite(cause);
  }

  @Override
  public SocketAddress getLocalSocketAddress() {
    return endPoint.getLocalSocketAddress();
  }

  @Override
  public SocketAddress getRemoteSocketAddress() {
    return endPoint.getRemoteSocketAddress();
  }

  @Override
  public boolean isOpen() {
    return endPoint.isOpen();
  }

  @Override
  public long getCreatedTimeStamp() {
    return endPoint.getCreatedTimeStamp();
  }

  @Override
  public void shutdownOutput() {
    endPoint.shutdownOutput();
  }

  @Override
  public boolean isOutputShutdown() {
    return endPoint.isOutputShutdown();
  }

  @Override
  public boolean isInputShutdown() {
    return endPoint.isInputShutdown();
  }

  @Override
  public void close(@Nullable Throwable cause) {
    endPoint.close(cause);
  }

  @Override
  public Object getTransport() {
    return endPoint.getTransport();
  }

  @Override
  public long getIdleTimeout() {
    return endPoint.getIdleTimeout();
  }

  @Override
  public void setIdleTimeout(long idleTimeout) {
    endPoint.setIdleTimeout(idleTimeout);
  }

  @Override
  public Connection getConnection() {
    return endPoint.getConnection();
  }

  @Override
  public void setConnection(Connection connection) {
    endPoint.setConnection(connection);
  }

  @Override
  public void onOpen() {
    endPoint.onOpen();
  }

  @Override
  public void onClose(@Nullable Throwable cause) {
    endPoint.onClose(cause);
  }

  @Override
  public void upgrade(Connection newConnection) {
    endPoint.upgrade(newConnection);
  }
}
