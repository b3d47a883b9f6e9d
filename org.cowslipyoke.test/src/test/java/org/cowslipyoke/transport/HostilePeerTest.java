package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.message.Envelope;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.transport.TestNode.Recorder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against peers that violate the protocol, send slowly or do not read. */
@Timeout(60)
class HostilePeerTest {

  private static final String HOST = "127.0.0.1";
  private static final Message HELLO = new Message.Hello("raw", "entry", "golega");

  @Test
  void excessLengthIsAnsweredWithTypedErrorAndClose() throws Exception {
    try (TestNode node = new TestNode("server-1", TestNode.FAST, m -> m);
        Socket socket = connect(node)) {
      socket.getOutputStream().write(new byte[] {0, 0x40, 0, 1});
      assertEquals(ErrorKind.TOO_LARGE, closeReason(socket));
      assertEquals(1, node.node.stats().protocolErrors());
    }
  }

  @Test
  void frameBeforeGreetingIsRefused() throws Exception {
    try (TestNode node = new TestNode("server-1", TestNode.FAST, m -> m);
        Socket socket = connect(node)) {
      write(socket, 1, new Message.Release(1));
      assertEquals(ErrorKind.PROTOCOL_ERROR, closeReason(socket));
      assertTrue(node.accepted.isEmpty());
    }
  }

  @Test
  void randomBytesCloseOnlyTheirConnection() throws Exception {
    long seed = new Random().nextLong();
    System.out.println("HostilePeerTest seed " + seed);
    Random random = new Random(seed);
    try (TestNode node = new TestNode("server-1", TestNode.FAST, m -> m);
        TestNode client = new TestNode("entry-1", TestNode.FAST, m -> m)) {
      Recorder recorder = new Recorder();
      MessageStream stream = client.node.open(HOST, node.port, recorder);
      for (int i = 0; i < 30; i++) {
        try (Socket socket = connect(node)) {
          write(socket, 0, HELLO);
          byte[] array = MessageCodecTest.array(new Envelope(1, 0, 0, new Message.Release(5)));
          array[random.nextInt(array.length)] ^= (byte) (1 + random.nextInt(255));
          socket.getOutputStream().write(new byte[] {0, 0, 0, (byte) array.length});
          socket.getOutputStream().write(array);
          byte[] noise = new byte[random.nextInt(2000)];
          random.nextBytes(noise);
          socket.getOutputStream().write(noise);
        } catch (SocketException e) {
          // The node closed the connection while the noise was written.
        }
        stream.send(new Message.Release(i));
        assertEquals(new Message.Release(i), TestNode.take(recorder.messages), "seed " + seed);
      }
    }
  }

  @Test
  void frameInSingleBytesIsRead() throws Exception {
    try (TestNode node = new TestNode("server-1", TestNode.FAST, m -> m);
        Socket socket = connect(node)) {
      socket.setTcpNoDelay(true);
      write(socket, 0, HELLO);
      for (byte b : MessageCodec.encode(new Envelope(1, 0, 0, new Message.Release(4))).get()) {
        socket.getOutputStream().write(b);
      }
      assertEquals(new Message.Release(4), TestNode.take(node.accepted));
    }
  }

  @Test
  void frameThatNeverEndsClosesTheConnection() throws Exception {
    try (TestNode node = new TestNode("server-1", TestNode.FAST, m -> m);
        Socket socket = connect(node)) {
      write(socket, 0, HELLO);
      write(socket, 1, new Message.Release(1));
      TestNode.take(node.accepted);
      // Bytes keep coming, but no whole frame; only frames count as a sign of life.
      socket.getOutputStream().write(new byte[] {0, 0x10, 0, 0});
      TestNode.await(
          () -> {
            try {
              socket.getOutputStream().write(0);
            } catch (IOException e) {
              return true;
            }
            return node.node.stats().connections() == 0;
          });
      assertEquals(ErrorKind.INCOMPLETE, TestNode.take(node.acceptedClosed).kind());
    }
  }

  @Test
  void connectionWithoutGreetingIsClosed() throws Exception {
    try (TestNode node = new TestNode("server-1", TestNode.FAST, m -> m);
        Socket socket = connect(node)) {
      TestNode.await(() -> node.node.stats().connections() == 1);
      TestNode.await(() -> node.node.stats().connections() == 0);
      assertFalse(socket.isClosed());
    }
  }

  @Test
  void overflowClosesOneStreamOnly() throws Exception {
    FrameTiming patient = new FrameTiming(1000, 1000, 5000, 20_000, 30_000, 60_000, 200);
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        TestNode client = new TestNode("entry-1", patient, m -> m)) {
      Recorder other = new Recorder();
      final MessageStream small = client.node.open(HOST, server.getLocalPort(), other);
      Recorder recorder = new Recorder();
      MessageStream stream = client.node.open(HOST, server.getLocalPort(), recorder);
      Socket socket = server.accept();
      write(socket, 0, HELLO);
      // The peer greets and then does not read: the socket buffers fill, then the queue.
      Message large = Messages.start(new byte[32 * 1024]);
      int sent = 0;
      while (stream.send(large)) {
        sent++;
        assertTrue(sent < 10_000, "the queue is not bounded");
      }
      assertNotNull(TestNode.take(recorder.closed));
      assertTrue(small.send(new Message.Release(1)));
      assertTrue(other.closed.isEmpty());
      socket.close();
      assertNotNull(TestNode.take(other.closed));
    }
  }

  private static Socket connect(TestNode node) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port);
    socket.setSoTimeout((int) TestNode.DEADLINE_MS);
    return socket;
  }

  private static void write(Socket socket, long stream, Message message) throws IOException {
    socket.getOutputStream().write(MessageCodec.encode(new Envelope(stream, 0, 0, message)).get());
  }

  /** Reads until the typed error, and checks that the connection ends after it. */
  private static ErrorKind closeReason(Socket socket) throws IOException {
    DataInputStream input = new DataInputStream(socket.getInputStream());
    List<ErrorKind> kinds = new ArrayList<>();
    try {
      while (true) {
        byte[] array = new byte[input.readInt()];
        input.readFully(array);
        Envelope frame = MessageCodec.decode(array).get();
        if (frame.message() instanceof Message.StreamClosed end) {
          kinds.add(end.kind());
        } else {
          assertInstanceOf(Message.Hello.class, frame.message());
        }
      }
    } catch (EOFException e) {
      assertEquals(1, kinds.size());
      return kinds.get(0);
    }
  }
}
