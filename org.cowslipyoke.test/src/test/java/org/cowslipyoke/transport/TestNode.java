package org.cowslipyoke.transport;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;

/** A started node whose acceptor answers each message by a function; records what it is told. */
final class TestNode implements AutoCloseable {

  static final long DEADLINE_MS = 10_000;

  /** Short timings; the silence limits stay above pauses that a busy machine causes. */
  static final FrameTiming FAST = new FrameTiming(1000, 150, 400, 900, 2000, 60_000, 500);

  final BlockingQueue<Message> accepted = new LinkedBlockingQueue<>();
  final BlockingQueue<Failure> acceptedClosed = new LinkedBlockingQueue<>();
  final AtomicLong configVersion = new AtomicLong();
  final BlockingQueue<String> newer = new LinkedBlockingQueue<>();
  final FrameNode node;
  final int port;

  TestNode(String vm, FrameTiming timing, Function<Message, Message> answer) {
    DocumentVersions versions =
        new DocumentVersions() {
          @Override
          public long configVersion() {
            return configVersion.get();
          }

          @Override
          public long suspectsVersion() {
            return 0;
          }
        };
    node =
        FrameNode.builder()
            .hello(new Message.Hello(vm, "server", "golega"))
            .versions(versions)
            .versionListener((peer, c, config, suspects) -> newer.add(peer + " " + config))
            .acceptor((peer, stream) -> handler(answer))
            .timing(timing)
            .build();
    port = node.start().get();
  }

  private StreamHandler handler(Function<Message, Message> answer) {
    return new StreamHandler() {
      @Override
      public void onMessage(MessageStream stream, Message message) {
        accepted.add(message);
        stream.send(answer.apply(message));
      }

      @Override
      public void onClosed(MessageStream stream, Failure failure) {
        acceptedClosed.add(failure);
      }
    };
  }

  @Override
  public void close() {
    node.close();
  }

  /** Records the calls of a stream. */
  static final class Recorder implements StreamHandler {

    final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
    final BlockingQueue<Failure> closed = new LinkedBlockingQueue<>();

    @Override
    public void onMessage(MessageStream stream, Message message) {
      messages.add(message);
    }

    @Override
    public void onClosed(MessageStream stream, Failure failure) {
      closed.add(failure);
    }
  }

  /** Takes the next element within the deadline. */
  static <T> T take(BlockingQueue<T> queue) throws InterruptedException {
    T element = queue.poll(DEADLINE_MS, TimeUnit.MILLISECONDS);
    if (element == null) {
      throw new AssertionError("nothing arrived within " + DEADLINE_MS + " ms");
    }
    return element;
  }

  /** Waits for a condition within the deadline. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition did not hold within " + DEADLINE_MS + " ms");
      }
      Thread.sleep(5);
    }
  }
}
