package org.cowslipyoke.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A selector thread. Everything that belongs to a connection runs on the thread of its loop. */
final class IoLoop {

  private static final Logger LOG = LogManager.getLogger(IoLoop.class);
  private static final int READ_BYTES = 64 * 1024;

  /** Attachment of a selection key. */
  @FunctionalInterface
  interface Channel {
    void ready(SelectionKey key) throws IOException;
  }

  private final Selector selector;
  private final Thread thread;
  private final long tickMs;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean woken = new AtomicBoolean();
  private final Set<FrameConnection> connections = new HashSet<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
  private final Object lock = new Object();
  private boolean ended; // guarded by lock
  private volatile boolean stopped;
  private long lastTick;

  IoLoop(String name, long tickMs) throws IOException {
    this.tickMs = tickMs;
    selector = Selector.open();
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Ends the thread after its queued tasks. */
  void stop() {
    stopped = true;
    selector.wakeup();
  }

  /** Waits for the end of the thread, unless called from it. */
  void join(long timeoutMs) throws InterruptedException {
    if (Thread.currentThread() != thread) {
      thread.join(timeoutMs);
    }
  }

  /**
   * Runs a task on the thread of this loop, after earlier ones. Once the loop has ended, the task
   * runs on a thread of its own, so that handlers are told even then.
   */
  void execute(Runnable task) {
    synchronized (lock) {
      if (ended) {
        new Thread(task, thread.getName() + "-ended").start();
        return;
      }
      tasks.add(task);
    }
    if (Thread.currentThread() != thread && woken.compareAndSet(false, true)) {
      selector.wakeup();
    }
  }

  Selector selector() {
    return selector;
  }

  /** Returns the read buffer that the connections of this loop share. */
  ByteBuffer readBuffer() {
    return readBuffer.clear();
  }

  void add(FrameConnection connection) {
    connections.add(connection);
  }

  void remove(FrameConnection connection) {
    connections.remove(connection);
  }

  List<FrameConnection> connections() {
    return List.copyOf(connections);
  }

  private void run() {
    while (!stopped) {
      try {
        selector.select(tasks.isEmpty() ? tickMs : 1);
        woken.set(false);
        for (SelectionKey key : selector.selectedKeys()) {
          ready(key);
        }
        selector.selectedKeys().clear();
        runTasks();
        tick();
      } catch (IOException | ClosedSelectorException e) {
        LOG.error("selector failed", e);
        break;
      }
    }
    connections().forEach(c -> c.close("the node is closed"));
    synchronized (lock) {
      ended = true;
    }
    runTasks();
    try {
      selector.close();
    } catch (IOException e) {
      LOG.warn("closing a selector failed", e);
    }
  }

  private static void ready(SelectionKey key) {
    try {
      if (key.isValid() && key.attachment() instanceof Channel channel) {
        channel.ready(key);
      }
    } catch (IOException | CancelledKeyException e) {
      LOG.debug("channel is closed", e);
    }
  }

  private void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("task of an I/O thread failed", e);
      }
    }
  }

  private void tick() {
    long now = System.nanoTime() / 1_000_000;
    if (now - lastTick >= tickMs) {
      lastTick = now;
      connections().forEach(FrameConnection::tick);
    }
  }
}
