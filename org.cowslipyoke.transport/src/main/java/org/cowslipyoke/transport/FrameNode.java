package org.cowslipyoke.transport;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * The frame transport of one process: listens for peers and opens streams to them over connections
 * that are made on demand and shared. Two I/O threads serve all connections. Thread-safe.
 */
public final class FrameNode implements StreamOpener, AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(FrameNode.class);
  private static final int THREADS = 2;
  private static final int BACKLOG = 1024;

  /** Connections in both directions; a daemon at the target size has fewer than 3,600. */
  private static final int MAX_CONNECTIONS = 8192;

  private final NodeContext context;
  private final String listenHost;
  private final int listenPort;
  private final List<IoLoop> loops = new ArrayList<>();
  private final AtomicInteger nextLoop = new AtomicInteger();
  private final Object lock = new Object();
  private @Nullable ServerSocketChannel listener;
  private volatile boolean closed;

  private FrameNode(NodeContext context, String listenHost, int listenPort) {
    this.context = context;
    this.listenHost = listenHost;
    this.listenPort = listenPort;
  }

  /** Returns a builder with the defaults of the design page. */
  public static Builder builder() {
    return new Builder();
  }

  /** Starts the threads and listens; returns the bound port. Call it once. */
  public Either<Failure, Integer> start() {
    try {
      for (int i = 0; i < THREADS; i++) {
        loops.add(new IoLoop("frames-" + i, context.timing().tickMs()));
      }
      ServerSocketChannel channel = ServerSocketChannel.open();
      listener = channel;
      channel.bind(new InetSocketAddress(listenHost, listenPort), BACKLOG);
      channel.configureBlocking(false);
      IoLoop.Channel acceptor = key -> accept(channel);
      channel.register(loops.get(0).selector(), SelectionKey.OP_ACCEPT, acceptor);
      loops.forEach(IoLoop::start);
      return Either.right(channel.socket().getLocalPort());
    } catch (IOException e) {
      return Either.left(
          Failure.of(
              ErrorKind.INTERNAL,
              "cannot listen on " + listenHost + ":" + listenPort + ": " + e.getMessage()));
    }
  }

  @Override
  public MessageStream open(String host, int port, StreamHandler handler) {
    String address = host + ":" + port;
    while (true) {
      FrameConnection connection = context.pool().get(address);
      if (connection == null) {
        try {
          connection = connect(host, port, address);
        } catch (IOException | RuntimeException e) {
          return new UnconnectedStream(loop(), handler, "cannot connect: " + e.getMessage());
        }
      }
      FrameStream stream = connection.tryOpen(handler);
      if (stream != null) {
        return stream;
      }
      context.forget(address, connection);
    }
  }

  /** Returns the counts of this node. */
  public TransportStats stats() {
    return context.stats();
  }

  /**
   * Stops listening, writes queued frames for at most the close timeout, and closes all
   * connections. Open streams end as their handlers' contract says.
   */
  @Override
  public void close() {
    synchronized (lock) {
      if (closed) {
        return;
      }
      closed = true;
    }
    try {
      ServerSocketChannel channel = listener;
      if (channel != null) {
        channel.close();
      }
    } catch (IOException e) {
      LOG.debug("closing the listener failed", e);
    }
    loops.forEach(l -> l.execute(() -> l.connections().forEach(FrameConnection::drain)));
    awaitDrained();
    for (IoLoop l : loops) {
      l.execute(() -> l.connections().forEach(c -> c.close("the node is closed")));
      l.stop();
    }
    try {
      for (IoLoop l : loops) {
        l.join(context.timing().closeTimeoutMs());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitDrained() {
    long end = context.clock().nowMs() + context.timing().closeTimeoutMs();
    try {
      while (stats().connections() > 0 && context.clock().nowMs() < end) {
        Thread.sleep(2);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private FrameConnection connect(String host, int port, String address) throws IOException {
    synchronized (lock) {
      FrameConnection existing = context.pool().get(address);
      if (existing != null) {
        return existing;
      }
      if (closed || stats().connections() >= MAX_CONNECTIONS) {
        throw new IOException(closed ? "the node is closed" : "too many connections");
      }
      SocketChannel channel = SocketChannel.open();
      IoLoop loop = loop();
      FrameConnection connection = new FrameConnection(context, loop, channel, address, true);
      context.pool().put(address, connection);
      loop.execute(() -> dial(connection, channel, new InetSocketAddress(host, port)));
      return connection;
    }
  }

  private static void dial(
      FrameConnection connection, SocketChannel channel, InetSocketAddress target) {
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      channel.connect(target);
    } catch (IOException | RuntimeException e) {
      connection.close("cannot connect: " + e.getMessage());
      return;
    }
    connection.attach();
  }

  private void accept(ServerSocketChannel server) throws IOException {
    SocketChannel channel = server.accept();
    if (channel == null) {
      return;
    }
    if (closed || stats().connections() >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    IoLoop loop = loop();
    String address = "from " + channel.getRemoteAddress();
    FrameConnection connection = new FrameConnection(context, loop, channel, address, false);
    loop.execute(connection::attach);
  }

  private IoLoop loop() {
    return loops.get(Math.floorMod(nextLoop.getAndIncrement(), loops.size()));
  }

  /** Builds a node. The greeting, the versions and the acceptor are required. */
  public static final class Builder {

    private @Nullable Hello hello;
    private @Nullable DocumentVersions versions;
    private @Nullable StreamAcceptor acceptor;
    private VersionListener versionListener = (vm, connection, config, suspects) -> {};
    private Clock clock = Clock.system();
    private String listenHost = "127.0.0.1";
    private int listenPort;
    private FrameTiming timing = FrameTiming.defaults();

    private Builder() {}

    /** Sets the greeting that names this process to its peers. */
    public Builder hello(Hello value) {
      hello = value;
      return this;
    }

    /** Sets the versions that outgoing frames carry. */
    public Builder versions(DocumentVersions value) {
      versions = value;
      return this;
    }

    /** Sets the listener of higher versions. */
    public Builder versionListener(VersionListener value) {
      versionListener = value;
      return this;
    }

    /** Sets the clock of all timings. */
    public Builder clock(Clock value) {
      clock = value;
      return this;
    }

    /** Sets the acceptor of the peers' streams. */
    public Builder acceptor(StreamAcceptor value) {
      acceptor = value;
      return this;
    }

    /** Sets the IP number to listen on. */
    public Builder listenHost(String value) {
      listenHost = value;
      return this;
    }

    /** Sets the port to listen on, 0 for an ephemeral one. */
    public Builder listenPort(int value) {
      listenPort = value;
      return this;
    }

    /** Sets the timings. */
    public Builder timing(FrameTiming value) {
      timing = value;
      return this;
    }

    /**
     * Returns the node, not yet started.
     *
     * @throws IllegalStateException if a required part is missing
     */
    public FrameNode build() {
      if (hello == null || versions == null || acceptor == null) {
        throw new IllegalStateException("hello, versions and acceptor are required");
      }
      Map<String, FrameConnection> pool = new ConcurrentHashMap<>();
      NodeContext context =
          new NodeContext(
              hello,
              versions,
              versionListener,
              clock,
              acceptor,
              timing,
              new TransportStats(),
              pool);
      return new FrameNode(context, listenHost, listenPort);
    }
  }
}
