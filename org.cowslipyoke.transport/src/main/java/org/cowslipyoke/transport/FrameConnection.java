package org.cowslipyoke.transport;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Envelope;
import org.cowslipyoke.message.Message;
import org.jspecify.annotations.Nullable;

/**
 * A TCP connection with its streams. Fields without another remark belong to the I/O thread; the
 * lock protects the opening of streams against the closing of the connection.
 */
final class FrameConnection implements PeerConnection, IoLoop.Channel {

  private static final Logger LOG = LogManager.getLogger(FrameConnection.class);

  /** Streams of one peer at a time; a correct peer stays far below. */
  private static final int MAX_STREAMS = 16 * 1024;

  /** A heartbeat is answered unless a frame was sent within this time. */
  private static final long ECHO_MS = 100;

  /** By how much longer the accepting side keeps an idle connection. */
  private static final long ACCEPTOR_EXTRA_MS = 15_000;

  private final NodeContext node;
  private final IoLoop loop;
  private final SocketChannel channel;
  private final String address;
  private final boolean dialer;
  private final FrameAssembler assembler = new FrameAssembler();
  private final PeerStreamIds peerIds;
  private final WriteQueue output;
  private final NewerVersionReporter newerVersions;
  private final Object lock = new Object();
  private final Map<Long, FrameStream> streams = new ConcurrentHashMap<>();
  private boolean closed; // guarded by lock
  private long nextId; // guarded by lock
  private volatile long busySinceMs;
  private @Nullable SelectionKey key;
  private Message.@Nullable Hello peer;
  private boolean draining;
  private final long createdMs;
  private long receivedMs;
  private long streamFrameMs;
  private long verifySinceMs = -1;

  FrameConnection(
      NodeContext node, IoLoop loop, SocketChannel channel, String address, boolean dialer) {
    this.node = node;
    this.loop = loop;
    this.channel = channel;
    this.address = address;
    this.dialer = dialer;
    nextId = dialer ? 1 : 2;
    peerIds = new PeerStreamIds(dialer ? 2 : 1);
    output = new WriteQueue(channel, node.stats());
    newerVersions = new NewerVersionReporter(node, this);
    createdMs = node.clock().nowMs();
    receivedMs = createdMs;
    streamFrameMs = createdMs;
    busySinceMs = createdMs;
    node.stats().connectionsChanged(1);
  }

  @Override
  public MessageStream open(StreamHandler handler) {
    FrameStream stream = tryOpen(handler);
    if (stream != null) {
      return stream;
    }
    FrameStream dead = new FrameStream(0, this, handler);
    loop.execute(() -> dead.finish("the connection is closed"));
    return dead;
  }

  /** Opens a stream from any thread; null if the connection is closed. */
  @Nullable FrameStream tryOpen(StreamHandler handler) {
    synchronized (lock) {
      if (closed) {
        return null;
      }
      FrameStream stream = new FrameStream(nextId, this, handler);
      nextId += 2;
      register(stream);
      return stream;
    }
  }

  Either<Failure, byte[]> encode(long streamId, Message message) {
    DocumentVersions versions = node.versions();
    return MessageCodec.encode(
        new Envelope(streamId, versions.configVersion(), versions.suspectsVersion(), message));
  }

  /** Queues a frame of a stream from any thread. */
  boolean enqueue(FrameStream stream, byte[] frame, boolean control) {
    if (!output.add(stream, frame, control)) {
      return false;
    }
    if (output.schedule()) {
      loop.execute(this::flush);
    }
    return true;
  }

  /** Called from any thread when the owner closed a stream; queued frames are still written. */
  void closed(FrameStream stream, ErrorKind kind, String message) {
    if (streams.remove(stream.id(), stream)) {
      encode(stream.id(), new Message.StreamClosed(kind, message))
          .forEach(
              f -> {
                output.addLast(f);
                if (output.schedule()) {
                  loop.execute(this::flush);
                }
              });
    }
  }

  /** Called from any thread when a stream failed; queued frames are dropped. */
  void failed(FrameStream stream, String message) {
    loop.execute(
        () -> {
          stream.finish(message);
          closed(stream, ErrorKind.INCOMPLETE, message);
        });
  }

  /** Starts to use the channel. */
  void attach() {
    loop.add(this);
    try {
      key = channel.register(loop.selector(), 0, this);
      if (dialer && !channel.finishConnect()) {
        key.interestOps(SelectionKey.OP_CONNECT);
      } else {
        greet();
      }
    } catch (IOException e) {
      close("cannot connect: " + e.getMessage());
    }
  }

  @Override
  public void ready(SelectionKey ready) {
    try {
      if (ready.isConnectable()) {
        channel.finishConnect();
        greet();
        return;
      }
      if (ready.isReadable()) {
        read();
      }
      if (ready.isValid() && ready.isWritable()) {
        flush();
      }
    } catch (FieldException e) {
      reject(Failure.of(ErrorKind.TOO_LARGE, String.valueOf(e.getMessage())));
    } catch (IOException e) {
      close("connection failed: " + e.getMessage());
    }
  }

  /** Checks all timings. */
  void tick() {
    FrameTiming timing = node.timing();
    long now = node.clock().nowMs();
    boolean busy = !streams.isEmpty();
    long quiet = now - (busy ? Math.max(receivedMs, busySinceMs) : receivedMs);
    if (peer == null) {
      if (now - createdMs >= timing.connectTimeoutMs()) {
        close("no connection within " + timing.connectTimeoutMs() + " ms");
      }
    } else if (quiet >= (busy ? timing.busySilenceMs() : timing.idleSilenceMs())) {
      silent();
    } else if (verifySinceMs >= 0 && now - verifySinceMs >= verifyTimeoutMs()) {
      silent();
    } else if (!busy && now - streamFrameMs >= idleCloseMs() && output.isEmpty()) {
      closeIdle();
    } else if (now - output.writtenMs() >= (busy ? timing.busyHeartbeatMs() : idleBeatMs())) {
      heartbeat();
    }
  }

  /** Closes the connection once the queued frames are written. */
  void drain() {
    draining = true;
    flush();
  }

  /** Closes the connection now. */
  void close(String reason) {
    synchronized (lock) {
      if (closed) {
        return;
      }
      closed = true;
    }
    loop.remove(this);
    node.forget(address, this);
    node.stats().connectionsChanged(-1);
    try {
      channel.close();
    } catch (IOException e) {
      LOG.debug("closing a channel failed", e);
    }
    LOG.debug("connection {} closed: {}", address, reason);
    List<FrameStream> open = List.copyOf(streams.values());
    streams.clear();
    output.clear();
    open.forEach(s -> s.finish(reason));
  }

  private void register(FrameStream stream) {
    if (streams.isEmpty()) {
      busySinceMs = node.clock().nowMs();
    }
    streams.put(stream.id(), stream);
  }

  private long idleBeatMs() {
    return node.timing().idleHeartbeatMs();
  }

  private long idleCloseMs() {
    return node.timing().idleCloseMs() + (dialer ? 0 : ACCEPTOR_EXTRA_MS);
  }

  private long verifyTimeoutMs() {
    boolean waiting = streams.values().stream().anyMatch(FrameStream::isHandedOver);
    return waiting ? node.timing().busySilenceMs() : node.timing().connectTimeoutMs();
  }

  private void silent() {
    node.stats().silentClosed();
    close("the connection is silent");
  }

  private void closeIdle() {
    synchronized (lock) {
      if (!streams.isEmpty()) {
        return;
      }
    }
    close("idle");
  }

  private void greet() throws IOException {
    if (key != null) {
      key.interestOps(SelectionKey.OP_READ);
    }
    encode(0, node.hello()).forEach(output::addUrgent);
    flush();
  }

  private void heartbeat() {
    if (!draining && !output.hasUrgent()) {
      encode(0, new Message.Heartbeat()).forEach(output::addUrgent);
      flush();
    }
  }

  private void read() throws IOException {
    ByteBuffer buffer = loop.readBuffer();
    int count = channel.read(buffer);
    if (count < 0) {
      close("the peer closed the connection");
      return;
    }
    buffer.flip();
    while (channel.isOpen()) {
      byte[] array = assembler.next(buffer);
      if (array.length == 0) {
        return;
      }
      Either<Failure, Envelope> frame = MessageCodec.decode(array);
      if (frame.isLeft()) {
        reject(frame.getLeft());
        return;
      }
      received(frame.get(), array.length + MessageCodec.LENGTH_BYTES);
    }
  }

  private void received(Envelope frame, int bytes) {
    Message message = frame.message();
    node.stats().received(MessageType.of(message).control, bytes);
    receivedMs = node.clock().nowMs();
    verifySinceMs = -1;
    if (peer == null) {
      if (!(message instanceof Message.Hello hello) || frame.streamId() != 0) {
        reject(Failure.of(ErrorKind.PROTOCOL_ERROR, "first frame is not a greeting"));
        return;
      }
      peer = hello;
    } else if (message instanceof Message.Hello) {
      reject(Failure.of(ErrorKind.PROTOCOL_ERROR, "second greeting"));
      return;
    }
    newerVersions.received(frame, peer.vm(), receivedMs);
    if (message instanceof Message.Heartbeat
        && receivedMs - output.writtenMs() >= Math.min(ECHO_MS, node.timing().tickMs())) {
      heartbeat();
    }
    if (frame.streamId() != 0) {
      streamFrameMs = receivedMs;
      dispatch(frame.streamId(), message, peer);
    } else if (message instanceof Message.StreamClosed end) {
      close("the peer reports " + end.kind() + ": " + end.message());
    }
    flush();
  }

  private void dispatch(long id, Message message, Message.Hello from) {
    FrameStream stream = streams.get(id);
    if (message instanceof Message.StreamClosed end) {
      peerIds.markSeen(id);
      if (stream != null && streams.remove(id, stream)) {
        stream.finish("the peer closed the stream: " + end.message());
      }
      return;
    }
    if (message instanceof Message.Notice || message instanceof Message.Heartbeat) {
      return;
    }
    if (stream == null && peerIds.markSeen(id)) {
      stream = accept(id, from);
    }
    if (stream != null) {
      stream.deliver(message);
    }
  }

  private @Nullable FrameStream accept(long id, Message.Hello from) {
    FrameStream stream = new FrameStream(id, this, null);
    synchronized (lock) {
      if (closed) {
        return null;
      }
      register(stream);
    }
    if (draining || streams.size() > MAX_STREAMS) {
      stream.fail("no further stream is accepted");
      return null;
    }
    try {
      stream.setHandler(node.acceptor().accept(from, stream));
    } catch (RuntimeException e) {
      LOG.error("acceptor of streams failed", e);
      stream.fail("the acceptor failed");
    }
    return stream;
  }

  private void reject(Failure failure) {
    node.stats().protocolError();
    LOG.warn("connection {}: {}: {}", address, failure.kind(), failure.message());
    encode(0, new Message.StreamClosed(failure.kind(), failure.message()))
        .forEach(
            f -> {
              try {
                output.addUrgent(f);
                output.write(false, node.clock().nowMs());
              } catch (IOException e) {
                LOG.debug("error was not sent", e);
              }
            });
    close(failure.kind() + ": " + failure.message());
  }

  private void flush() {
    output.unschedule();
    SelectionKey k = key;
    if (k == null || !k.isValid() || !channel.isConnected()) {
      return;
    }
    try {
      long now = node.clock().nowMs();
      boolean stale = now - receivedMs > node.timing().staleMs();
      if (peer != null && stale && !output.isEmpty() && verifySinceMs < 0) {
        verifySinceMs = now;
        encode(0, new Message.Heartbeat()).forEach(output::addUrgent);
      }
      boolean done = output.write(peer != null && !stale, now);
      k.interestOps(SelectionKey.OP_READ | (done ? 0 : SelectionKey.OP_WRITE));
      if (draining && done && output.isEmpty()) {
        // The peer's close follows. Closing at once could reset the connection and lose frames.
        channel.shutdownOutput();
      }
    } catch (IOException e) {
      close("connection failed: " + e.getMessage());
    }
  }
}
