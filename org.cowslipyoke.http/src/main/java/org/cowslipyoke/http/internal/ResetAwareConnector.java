package org.cowslipyoke.http.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Connects sockets that report a reset as a failure.
 *
 * <p>Jetty reads a reset connection as one that ended in order. An answer without a length ends
 * with its connection, so it would look whole after a reset.
 */
public final class ResetAwareConnector extends ClientConnector {

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetAwareEndPoint((SocketChannel) channel, selector, key, this);
  }

  private static final class ResetAwareEndPoint extends SocketChannelEndPoint {

    ResetAwareEndPoint(
        SocketChannel channel,
        ManagedSelector selector,
        SelectionKey key,
        ClientConnector connector) {
      super(channel, selector, key, connector.getScheduler());
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
      if (isInputShutdown()) {
        return -1;
      }
      int position = BufferUtil.flipToFill(buffer);
      try {
        int filled = getChannel().read(buffer);
        if (filled > 0) {
          notIdle();
        } else if (filled == -1) {
          shutdownInput();
        }
        return filled;
      } finally {
        BufferUtil.flipToFlush(buffer, position);
      }
    }
  }
}
