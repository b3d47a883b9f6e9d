package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.transport.TestNode.Recorder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against hanging on, or false claims about, connections that went silent. */
@Timeout(60)
class SilentPeerTest {

  private static final String HOST = "127.0.0.1";

  @Test
  void silentConnectionIsReplacedAndSentStreamIsIncomplete() throws Exception {
    try (TestNode server = new TestNode("server-1", TestNode.FAST, m -> m);
        TcpRelay relay = new TcpRelay(server.port);
        TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder before = new Recorder();
      client.node.open(HOST, relay.port(), before).send(new Message.Release(1));
      assertEquals(new Message.Release(1), TestNode.take(before.messages));
      final long start = System.nanoTime();
      relay.silence();
      assertEquals(ErrorKind.INCOMPLETE, TestNode.take(before.closed).kind());
      long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      assertTrue(tookMs >= TestNode.FAST.busySilenceMs() / 2, tookMs + " ms");
      assertEquals(1, client.node.stats().silentConnections());
      // The other side sees the silence on its own.
      assertEquals(ErrorKind.INCOMPLETE, TestNode.take(server.acceptedClosed).kind());

      Recorder after = new Recorder();
      client.node.open(HOST, relay.port(), after).send(new Message.Release(2));
      assertEquals(new Message.Release(2), TestNode.take(after.messages));
    }
  }

  @Test
  void requestOnIdleSilentConnectionIsNotSent() throws Exception {
    FrameTiming timing = new FrameTiming(300, 100, 30_000, 2000, 60_000, 60_000, 500);
    try (TestNode server = new TestNode("server-1", timing, m -> m);
        TcpRelay relay = new TcpRelay(server.port);
        TestNode client = new TestNode("entry-1", timing, m -> m)) {
      Recorder before = new Recorder();
      MessageStream first = client.node.open(HOST, relay.port(), before);
      first.send(new Message.Release(1));
      TestNode.take(before.messages);
      first.close();
      relay.silence();
      // The last received frame must be older than 1.5 busy heartbeats.
      long idleSince = System.nanoTime();
      TestNode.await(() -> System.nanoTime() - idleSince > TimeUnit.MILLISECONDS.toNanos(250));
      long sentBefore = client.node.stats().requestOut().frames();
      Recorder second = new Recorder();
      client.node.open(HOST, relay.port(), second).send(new Message.Release(2));
      assertEquals(ErrorKind.NO_SERVER, TestNode.take(second.closed).kind());
      assertEquals(sentBefore, client.node.stats().requestOut().frames());
      assertEquals(1, server.accepted.size());
    }
  }

  @Test
  void openStreamWithoutTrafficIsKeptByHeartbeats() throws Exception {
    try (TestNode server = new TestNode("server-1", TestNode.FAST, m -> m);
        TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder used = new Recorder();
      client.node.open(HOST, server.port, used).send(new Message.Release(1));
      TestNode.take(used.messages);
      // The peer does not know of a stream without frames, but answers the heartbeats.
      Recorder unused = new Recorder();
      MessageStream stream = client.node.open(HOST, server.port, unused);
      long start = System.nanoTime();
      long span = TimeUnit.MILLISECONDS.toNanos(2 * TestNode.FAST.busySilenceMs());
      TestNode.await(() -> System.nanoTime() - start > span);
      assertTrue(unused.closed.isEmpty());
      stream.send(new Message.Release(2));
      assertEquals(new Message.Release(2), TestNode.take(unused.messages));
      assertEquals(0, client.node.stats().silentConnections());
    }
  }
}
