package org.cowslipyoke.daemon.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Crowds of clients that don't behave, at an entry daemon in a process of its own with a small heap
 * and few descriptors. The process has to live within its bounds and to answer an ordinary request
 * while the crowd stays connected and after it has left.
 */
@Timeout(180)
class DaemonCrowdTest {

  /** Body size that the configuration allows, in bytes. */
  static final int MAX_BODY = 1 << 20;

  private static final int HEAP_MB = 48;

  /** Bound of the resident memory in megabytes. */
  private static final int MEMORY_MB = 240;

  private static final int MAX_FDS = 410;

  /** Time without a transferred byte after which the crowd counts as at rest, in milliseconds. */
  private static final long REST_MS = 2_000;

  private static final long WAIT_MS = 30_000;

  /** What one client sends and reads before it stops and stays connected. */
  private interface Script {
    void run(InputStream in, OutputStream out) throws IOException, InterruptedException;
  }

  @TempDir Path folder;
  private Path log;
  private Process process;
  private int port;
  private final List<Socket> crowd = new CopyOnWriteArrayList<>();
  private final AtomicInteger active = new AtomicInteger();
  private final AtomicLong transferred = new AtomicLong();

  @BeforeEach
  void start() throws Exception {
    int framePort;
    // Both are reserved at once: an ephemeral port for frames could be the one chosen for HTTP.
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ServerSocket frames = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = s.getLocalPort();
      framePort = frames.getLocalPort();
    }
    log = folder.resolve("daemon.log");
    String command =
        String.format(
            "ulimit -n %d; exec '%s' -Xmx%dm -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                + " -XX:+ExitOnOutOfMemoryError -XX:+PerfDisableSharedMem -cp '%s' %s %d %d",
            MAX_FDS,
            Path.of(System.getProperty("java.home"), "bin", "java"),
            HEAP_MB,
            System.getProperty("java.class.path"),
            CrowdDaemon.class.getName(),
            port,
            framePort);
    process =
        new ProcessBuilder("bash", "-c", command)
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    awaitReady("start");
  }

  @AfterEach
  void stop() throws Exception {
    leave();
    process.destroyForcibly();
    process.waitFor(10, TimeUnit.SECONDS);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(ISO_8859_1);
  }

  private static String head(String path, String more) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-crowd\r\n" + more;
  }

  private static String chat(String more) {
    return head(EntryHandler.CHAT_PATH, more);
  }

  private static String withBody(String more, String body) {
    return chat(more) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Guards against bodies that stop one byte short of their end and exhaust the heap. */
  @Test
  void unfinishedBodies() throws Exception {
    byte[] body = new byte[MAX_BODY - 1];
    check(
        80,
        (in, out) -> {
          out.write(bytes(chat("Content-Length: " + MAX_BODY + "\r\n\r\n")));
          out.write(body);
        });
  }

  /** Guards against chunked bodies, whose length the head does not state. */
  @Test
  void unfinishedChunks() throws Exception {
    byte[] chunk = bytes("100\r\n" + "x".repeat(256) + "\r\n");
    check(
        80,
        (in, out) -> {
          out.write(bytes(chat("Transfer-Encoding: chunked\r\n\r\n")));
          for (int i = 0; i < MAX_BODY / 256 - 1; i++) {
            out.write(chunk);
          }
        });
  }

  /** Guards against bodies at paths that read none. */
  @Test
  void unfinishedBodiesAtOtherPaths() throws Exception {
    byte[] body = new byte[MAX_BODY - 1];
    AtomicInteger n = new AtomicInteger();
    check(
        80,
        (in, out) -> {
          String path = List.of("/x", "/readyz", "/metrics", "/").get(n.getAndIncrement() % 4);
          out.write(bytes(head(path, "Content-Length: " + MAX_BODY + "\r\n\r\n")));
          out.write(body);
        });
  }

  /** Guards against heads of very many short headers that stop just short of their end. */
  @Test
  void shortHeadersOfUnfinishedHeads() throws Exception {
    byte[] half = bytes(chat("a:\r\n".repeat(1_900)));
    check(250, (in, out) -> out.write(half));
  }

  /** Guards against heads of very many short headers that are held while a body is read. */
  @Test
  void shortHeadersOfUnfinishedBodies() throws Exception {
    byte[] half = bytes(chat("a:\r\n".repeat(1_900) + "Content-Length: 4096\r\n\r\nx"));
    check(250, (in, out) -> out.write(half));
  }

  /** Guards against connections that send nothing and use up the descriptors. */
  @Test
  void silentConnections() throws Exception {
    check(600, (in, out) -> {});
  }

  /** Guards against heads that stop half-way and use up the descriptors. */
  @Test
  void headsThatStop() throws Exception {
    byte[] half = bytes(chat("").substring(0, 40));
    check(600, (in, out) -> out.write(half));
  }

  /** Guards against bodies that come byte by byte. */
  @Test
  void bodiesByteByByte() throws Exception {
    check(
        600,
        (in, out) -> {
          out.write(bytes(chat("Content-Length: " + MAX_BODY + "\r\n\r\n")));
          for (int i = 0; i < 40; i++) {
            out.write(1);
            Thread.sleep(250);
          }
        });
  }

  /** Guards against responses that are held for callers that do not read. */
  @Test
  void unreadResponses() throws Exception {
    byte[] request =
        bytes(
            withBody("", EntryFixture.BODY.replace("\"m\"", "\"" + CrowdDaemon.LONG_MODEL + "\"")));
    check(80, (in, out) -> out.write(request));
  }

  /** Guards against streams that are held for callers that do not read. */
  @Test
  void unreadStreams() throws Exception {
    String body = EntryFixture.BODY.replace("\"m\"", "\"" + CrowdDaemon.LONG_MODEL + "\"");
    byte[] request = bytes(withBody("", body.replace("{\"model", "{\"stream\":true,\"model")));
    check(80, (in, out) -> out.write(request));
  }

  private void check(int clients, Script script) throws Exception {
    active.set(clients);
    for (int i = 0; i < clients; i++) {
      Thread t = new Thread(null, () -> run(script), "crowd-" + i, 256 << 10);
      t.setDaemon(true);
      t.start();
    }
    awaitRest();
    checkDaemon("with the crowd");
    leave();
    checkDaemon("after the crowd");
  }

  private void run(Script script) {
    try {
      Socket s = new Socket();
      s.setReceiveBufferSize(16 << 10);
      crowd.add(s);
      s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      OutputStream out = s.getOutputStream();
      script.run(
          s.getInputStream(),
          new OutputStream() {
            @Override
            public void write(int b) throws IOException {
              write(new byte[] {(byte) b}, 0, 1);
            }

            @Override
            public void write(byte[] b, int off, int len) throws IOException {
              out.write(b, off, len);
              transferred.addAndGet(len);
            }
          });
    } catch (IOException e) {
      // The daemon refused the client or closed its connection, which is allowed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      active.decrementAndGet();
    }
  }

  private void awaitRest() throws InterruptedException {
    long endNs = System.nanoTime() + WAIT_MS * 1_000_000;
    long last = -1;
    long lastNs = System.nanoTime();
    while (active.get() > 0 && System.nanoTime() < endNs) {
      if (transferred.get() != last) {
        last = transferred.get();
        lastNs = System.nanoTime();
      } else if (System.nanoTime() - lastNs > REST_MS * 1_000_000) {
        return;
      }
      Thread.sleep(20);
    }
  }

  private void leave() throws IOException {
    for (Socket s : crowd) {
      s.close();
    }
    crowd.clear();
  }

  private void checkDaemon(String when) throws Exception {
    awaitReady(when);
    String request = withBody("Connection: close\r\n", EntryFixture.BODY);
    String response = call(request.replace("key-crowd", "key-alpha"));
    assertTrue(response.startsWith("HTTP/1.1 200"), when + ": " + response + logEnd());
    assertTrue(response.contains("Hello"), when + ": " + response);
    assertTrue(process.isAlive(), when + ": the process has ended: " + logEnd());
    assertFalse(Files.readString(log).contains("OutOfMemoryError"), when + ": " + logEnd());
    assertTrue(residentMb() <= MEMORY_MB, when + ": resident megabytes " + residentMb());
    assertTrue(descriptors() < MAX_FDS, when + ": open descriptors " + descriptors());
  }

  private void awaitReady(String when) throws Exception {
    BooleanSupplier ready =
        () -> {
          try {
            String request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            return call(request).startsWith("HTTP/1.1 200");
          } catch (IOException e) {
            return false;
          }
        };
    long endNs = System.nanoTime() + WAIT_MS * 1_000_000;
    while (!ready.getAsBoolean()) {
      assertTrue(process.isAlive(), when + ": the process has ended: " + logEnd());
      assertTrue(System.nanoTime() < endNs, when + ": not ready: " + logEnd());
      Thread.sleep(20);
    }
  }

  private String call(String request) throws IOException {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 20_000);
      s.setSoTimeout(20_000);
      s.getOutputStream().write(bytes(request));
      return new String(s.getInputStream().readAllBytes(), ISO_8859_1);
    }
  }

  private long residentMb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) >> 10;
      }
    }
    throw new IOException("the process has no VmHWM");
  }

  private int descriptors() throws IOException {
    try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return (int) open.count();
    }
  }

  private String logEnd() throws IOException {
    String text = Files.readString(log);
    return text.substring(Math.max(0, text.length() - 1_500));
  }
}
