package org.cowslipyoke.http.internal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;

/** A channel without a network: takes all that is written, and returns what a test lets arrive. */
final class FakeChannel extends SocketChannel {

  private final Socket socket = new Socket();
  private byte[] input = {};
  private Runnable onRead = () -> {};
  private volatile boolean broken;

  FakeChannel() {
    super(SelectorProvider.provider());
  }

  /** Lets bytes arrive; runs an action after they were read and before the read returns. */
  void receive(byte[] bytes, Runnable whileReading) {
    input = bytes;
    onRead = whileReading;
  }

  /** Makes each later use fail. */
  void breakOff() {
    broken = true;
  }

  private void check() throws IOException {
    if (broken) {
      throw new IOException("broken");
    }
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    check();
    final int n = input.length;
    target.put(input);
    input = new byte[0];
    Runnable action = onRead;
    onRead = () -> {};
    action.run();
    return n;
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) {
    throw new UnsupportedOperationException();
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    check();
    int n = source.remaining();
    source.position(source.limit());
    return n;
  }

  @Override
  public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
    long n = 0;
    for (int i = offset; i < offset + length; i++) {
      n += write(sources[i]);
    }
    return n;
  }

  @Override
  public Socket socket() {
    return socket;
  }

  @Override
  public boolean isConnected() {
    return true;
  }

  @Override
  public boolean isConnectionPending() {
    return false;
  }

  @Override
  public boolean connect(SocketAddress remote) {
    return true;
  }

  @Override
  public boolean finishConnect() {
    return true;
  }

  @Override
  public SocketAddress getRemoteAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
  }

  @Override
  public SocketAddress getLocalAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 2);
  }

  @Override
  public SocketChannel bind(SocketAddress local) {
    return this;
  }

  @Override
  public <T> SocketChannel setOption(SocketOption<T> name, T value) {
    return this;
  }

  @Override
  public <T> T getOption(SocketOption<T> name) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Set<SocketOption<?>> supportedOptions() {
    return Set.of();
  }

  @Override
  public SocketChannel shutdownInput() {
    return this;
  }

  @Override
  public SocketChannel shutdownOutput() {
    return this;
  }

  @Override
  protected void implCloseSelectableChannel() throws IOException {
    socket.close();
  }

  @Override
  protected void implConfigureBlocking(boolean block) {}
}
