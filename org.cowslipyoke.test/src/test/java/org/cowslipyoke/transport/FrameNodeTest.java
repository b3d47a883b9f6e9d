package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.transport.TestNode.Recorder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards the contract of streams between two nodes of one process. */
@Timeout(60)
class FrameNodeTest {

  private static final String HOST = "127.0.0.1";

  @Test
  void messagesOfManyStreamsArriveInOrder() throws Exception {
    try (TestNode server = new TestNode("server-1", TestNode.FAST, m -> m);
        TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder[] recorders = new Recorder[50];
      MessageStream[] streams = new MessageStream[50];
      for (int i = 0; i < streams.length; i++) {
        recorders[i] = new Recorder();
        streams[i] = client.node.open(HOST, server.port, recorders[i]);
      }
      // The last stream sends first: an id below the highest one seen is still a new stream.
      for (int n = 0; n < 20; n++) {
        for (int i = streams.length - 1; i >= 0; i--) {
          assertTrue(streams[i].send(new Message.Release(1000L * i + n)));
        }
      }
      for (int i = 0; i < streams.length; i++) {
        for (int n = 0; n < 20; n++) {
          assertEquals(new Message.Release(1000L * i + n), TestNode.take(recorders[i].messages));
        }
      }
      assertEquals(1, client.node.stats().connections());
      assertEquals(1000, client.node.stats().requestOut().frames());
    }
  }

  @Test
  void bothSidesOpenStreamsOnOneConnection() throws Exception {
    try (TestNode server = new TestNode("server-1", TestNode.FAST, m -> m);
        TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      client.configVersion.set(5);
      Recorder recorder = new Recorder();
      MessageStream stream = client.node.open(HOST, server.port, recorder);
      stream.send(new Message.Notice());
      assertEquals("entry-1 5", TestNode.take(server.newer));
      assertTrue(server.accepted.isEmpty());
    }
  }

  @Test
  void refusedConnectionIsReportedAsNotSent() throws Exception {
    int freePort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      freePort = socket.getLocalPort();
    }
    try (TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder recorder = new Recorder();
      client.node.open(HOST, freePort, recorder).send(new Message.Release(1));
      assertEquals(ErrorKind.NO_SERVER, TestNode.take(recorder.closed).kind());
      assertEquals(0, client.node.stats().requestOut().frames());
    }
  }

  @Test
  void peerWithoutGreetingGetsNoStreamFrame() throws Exception {
    // A stopped process: the kernel accepts the connection, but nobody answers.
    try (ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder recorder = new Recorder();
      client.node.open(HOST, socket.getLocalPort(), recorder).send(new Message.Release(1));
      assertEquals(ErrorKind.NO_SERVER, TestNode.take(recorder.closed).kind());
      assertEquals(0, client.node.stats().requestOut().frames());
    }
  }

  @Test
  void closeOfOneSideEndsTheOtherAndLateMessagesAreIgnored() throws Exception {
    try (TestNode server = new TestNode("server-1", TestNode.FAST, m -> m);
        TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder recorder = new Recorder();
      MessageStream stream = client.node.open(HOST, server.port, recorder);
      stream.send(new Message.Release(1));
      stream.close();
      assertFalse(stream.send(new Message.Release(2)));
      assertEquals(new Message.Release(1), TestNode.take(server.accepted));
      assertEquals(ErrorKind.INCOMPLETE, TestNode.take(server.acceptedClosed).kind());
      // The answer crossed the close; a further stream shows that it was passed over.
      Recorder second = new Recorder();
      client.node.open(HOST, server.port, second).send(new Message.Release(3));
      assertEquals(new Message.Release(3), TestNode.take(second.messages));
      assertTrue(recorder.messages.isEmpty());
      assertTrue(recorder.closed.isEmpty());
      assertEquals(1, server.accepted.size());
    }
  }

  @Test
  void lossOfPeerAfterSendIsIncomplete() throws Exception {
    TestNode server = new TestNode("server-1", TestNode.FAST, m -> m);
    try (TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder sent = new Recorder();
      client.node.open(HOST, server.port, sent).send(new Message.Release(1));
      assertInstanceOf(Message.Release.class, TestNode.take(sent.messages));
      Recorder unsent = new Recorder();
      client.node.open(HOST, server.port, unsent);
      server.close();
      assertEquals(ErrorKind.INCOMPLETE, TestNode.take(sent.closed).kind());
      assertEquals(ErrorKind.NO_SERVER, TestNode.take(unsent.closed).kind());
    } finally {
      server.close();
    }
  }

  @Test
  void queuedFramesAreWrittenBeforeClose() throws Exception {
    try (TestNode server = new TestNode("server-1", TestNode.FAST, m -> m)) {
      TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m);
      MessageStream stream = client.node.open(HOST, server.port, new Recorder());
      for (int i = 0; i < 100; i++) {
        assertTrue(stream.send(new Message.Release(i)));
      }
      client.close();
      for (int i = 0; i < 100; i++) {
        assertEquals(new Message.Release(i), TestNode.take(server.accepted));
      }
    }
  }

  @Test
  void idleConnectionIsClosedAndMadeAgain() throws Exception {
    FrameTiming timing = new FrameTiming(1000, 150, 200, 900, 2000, 300, 500);
    try (TestNode server = new TestNode("server-1", timing, m -> m);
        TestNode client = new TestNode("entry-1", timing, m -> m)) {
      for (int i = 0; i < 2; i++) {
        Recorder recorder = new Recorder();
        MessageStream stream = client.node.open(HOST, server.port, recorder);
        stream.send(new Message.Release(i));
        assertEquals(new Message.Release(i), TestNode.take(recorder.messages));
        stream.close();
        TestNode.await(() -> client.node.stats().connections() == 0);
      }
    }
  }

  @Test
  void openOnClosedNodeIsReportedAsNotSent() throws Exception {
    try (TestNode server = new TestNode("server-1", TestNode.FAST, m -> m)) {
      TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m);
      client.close();
      Recorder recorder = new Recorder();
      assertFalse(client.node.open(HOST, server.port, recorder).send(new Message.Release(1)));
      assertEquals(ErrorKind.NO_SERVER, TestNode.take(recorder.closed).kind());
    }
  }
}
