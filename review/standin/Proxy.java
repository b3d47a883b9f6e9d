package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Loopback proxy whose connections can be reset. Its buffers are small, as on a network link. */
final class Proxy implements AutoCloseable {

  private static final int BUFFER = 16 << 10;

  private final Listener listener;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /** Starts a proxy in front of a port of the loopback address. */
  Proxy(int port) throws IOException {
    listener = new Listener(BUFFER, (s, in) -> forward(s, in, port));
  }

  String address() {
    return listener.address();
  }

  private void forward(Socket s, InputStream in, int port) throws Exception {
    try (Socket to = new Socket()) {
      to.setTcpNoDelay(true);
      to.setSendBufferSize(BUFFER);
      to.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      open.add(s);
      open.add(to);
      Thread back = Listener.thread(() -> pump(to.getInputStream(), s, to));
      pump(in, to, s);
      back.join();
    } finally {
      open.remove(s);
    }
  }

  private static void pump(InputStream in, Socket to, Socket from) throws IOException {
    byte[] b = new byte[BUFFER];
    OutputStream out = to.getOutputStream();
    try {
      for (int n = in.read(b); n >= 0; n = in.read(b)) {
        out.write(b, 0, n);
      }
    } finally {
      to.close();
      from.close();
    }
  }

  /** Resets all open connections in both directions; returns the number of those of clients. */
  int resetAll() throws IOException {
    int sockets = 0;
    for (Socket s : open) {
      if (!s.isClosed()) {
        s.setSoLinger(true, 0);
        s.close();
        sockets++;
      }
      open.remove(s);
    }
    return sockets / 2;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
