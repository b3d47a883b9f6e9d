package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts connections on a loopback address and serves each in a thread of its own. */
final class Listener implements AutoCloseable {

  /** Serves one connection; an exception ends it. */
  interface Handler {
    void serve(Socket s, InputStream in) throws Exception;
  }

  private final ServerSocket server = new ServerSocket();

  /**
   * Starts listening on a free port.
   *
   * @param receiveBuffer size of the receive buffer of its connections, 0 for the default
   */
  Listener(int receiveBuffer, Handler handler) throws IOException {
    if (receiveBuffer > 0) {
      server.setReceiveBufferSize(receiveBuffer);
    }
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    thread(
        () -> {
          while (!server.isClosed()) {
            Socket s = server.accept();
            s.setTcpNoDelay(true);
            thread(() -> serve(s, handler));
          }
        });
  }

  private static void serve(Socket s, Handler handler) throws Exception {
    try (s) {
      handler.serve(s, new BufferedInputStream(s.getInputStream(), 8 << 10));
    }
  }

  /** Code that may fail; a failure ends its thread only. */
  interface Task {
    void run() throws Exception;
  }

  static Thread thread(Task t) {
    Thread thread =
        new Thread(
            () -> {
              try {
                t.run();
              } catch (IOException e) {
                // The peer closed the connection.
              } catch (Exception e) {
                e.printStackTrace();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  int port() {
    return server.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
