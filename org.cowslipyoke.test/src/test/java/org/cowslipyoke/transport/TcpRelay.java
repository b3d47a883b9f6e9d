package org.cowslipyoke.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Relays TCP connections and can make those that are open silent while new ones still work. */
final class TcpRelay implements AutoCloseable {

  private final ServerSocket server;
  private final int targetPort;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<Pump> pumps = new CopyOnWriteArrayList<>();

  TcpRelay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Stops forwarding on the connections that are open now, without closing them. */
  void silence() {
    pumps.forEach(p -> p.silent = true);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket inner = server.accept();
      Socket outer = new Socket();
      sockets.add(inner);
      sockets.add(outer);
      outer.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
      for (Pump pump : List.of(new Pump(inner, outer), new Pump(outer, inner))) {
        pumps.add(pump);
        start(pump::run);
      }
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // A closed socket is how the relay ends.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static final class Pump {

    private final Socket from;
    private final Socket to;
    volatile boolean silent;

    Pump(Socket from, Socket to) {
      this.from = from;
      this.to = to;
    }

    void run() throws IOException {
      byte[] buffer = new byte[8192];
      int count = from.getInputStream().read(buffer);
      while (count >= 0) {
        if (!silent) {
          to.getOutputStream().write(buffer, 0, count);
        }
        count = from.getInputStream().read(buffer);
      }
      if (!silent) {
        to.close();
      }
    }
  }
}
