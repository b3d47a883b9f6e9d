package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A booking with a long body, to which its server answers before it has read all of it. While the
 * rest of the body is on its way, the channel between entry and server is reset.
 */
final class EarlyAnswer {

  private static final String SERVICE = "kafi81c";
  private static final String ID = "i-31b174c273";
  private static final int BODY = 4_000_000;
  private static final int READ_FIRST = 64 << 10;
  private static final int REQUESTS = 5;

  private final boolean trouble;
  private final Record record;
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> answered = new ConcurrentLinkedQueue<>();

  private EarlyAnswer(boolean trouble, Record record) {
    this.trouble = trouble;
    this.record = record;
  }

  /**
   * Runs the case and ends with {@link Verdict}'s codes.
   *
   * @param args the file record.txt of the case, and a temporary folder
   */
  public static void main(String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Verdict.exit(
        Path.of(args[0]), record -> new EarlyAnswer(trouble, record).play(Path.of(args[1])));
  }

  private int play(Path folder) throws Exception {
    Store store = new Store();
    try (Listener server = new Listener(16 << 10, this::serve);
        Proxy proxy = new Proxy(server.port())) {
      long born = System.currentTimeMillis();
      String route = Deployment.route("/defi252/", "non_idempotent", SERVICE, 5_000, 1);
      store.put("op", "config", Deployment.config(7, SERVICE, route));
      store.put("servers", ID, Deployment.server(SERVICE, proxy.address(), born));
      try (Fleet fleet = new Fleet(folder, 5, store.address())) {
        Entry entry = fleet.first();
        for (int i = 0; i < REQUESTS; i++) {
          String id = String.format("9c41d07be2a3%04d", i);
          Thread caller = Listener.thread(() -> call(entry, id));
          if (trouble) {
            reset(proxy);
          }
          caller.join(8_000);
        }
        record.log("entry alive=%s", entry.process.isAlive());
      }
    }
    return verdict();
  }

  /** Resets the channels to the server 100 ms after it has answered. */
  private void reset(Proxy proxy) throws Exception {
    long endMs = System.currentTimeMillis() + 5_000;
    while (answered.poll() == null) {
      if (System.currentTimeMillis() > endMs) {
        throw new IOException("the server did not answer");
      }
      Thread.sleep(5);
    }
    Thread.sleep(100);
    record.log("channels between the entry and the server that are reset: %d", proxy.resetAll());
  }

  private int verdict() {
    int twice = 0;
    for (Map.Entry<String, AtomicInteger> e : runs.entrySet()) {
      record.log("request %s has run %d times", e.getKey(), e.getValue().get());
      twice += e.getValue().get() > 1 ? 1 : 0;
    }
    record.log("%d of %d requests have run, %d more than once", runs.size(), REQUESTS, twice);
    System.out.printf("run: %d of %d, more than once: %d%n", runs.size(), REQUESTS, twice);
    if (twice > 0) {
      return 1;
    }
    return runs.size() < REQUESTS ? 2 : 0;
  }

  private void call(Entry entry, String id) {
    try (Socket s = entry.connect()) {
      s.setSoTimeout(6_000);
      record.log("caller sends POST %s, %d bytes", id, BODY);
      s.getOutputStream()
          .write(
              Deployment.request("POST", "/defi252/2f", id, BODY, 5_000)
                  .getBytes(StandardCharsets.ISO_8859_1));
      s.getOutputStream().write(new byte[BODY]);
      Http.Head h = Http.head(s.getInputStream());
      record.log(
          "caller gets %s for %s, seal '%s'",
          h == null ? "a closed channel" : h.line(), id, h == null ? "" : h.header("X-Server-Seal"));
    } catch (IOException e) {
      record.log("caller gets %s for %s", e, id);
    }
  }

  /** Serves a connection as the pages say: answers before a long body is in, and reads on later. */
  private void serve(Socket s, InputStream in) throws Exception {
    for (Http.Head h = Http.head(in); h != null; h = Http.head(in)) {
      String id = h.header("X-Request-Id");
      int length = Integer.parseInt("0" + h.header("Content-Length"));
      if (!h.header("X-Expect-Instance").equals(ID)) {
        Http.exactly(in, length);
        s.getOutputStream().write(refusal(id).getBytes(StandardCharsets.ISO_8859_1));
        continue;
      }
      Http.exactly(in, Math.min(length, READ_FIRST));
      int n = runs.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
      record.log("server runs %s (run %d), has read %d of %d bytes", id, n, READ_FIRST, length);
      byte[] head = Deployment.response(id, 2).getBytes(StandardCharsets.ISO_8859_1);
      s.getOutputStream().write(head);
      s.getOutputStream().write("ok".getBytes(StandardCharsets.ISO_8859_1));
      record.log("server has answered %s with 200", id);
      if (n == 1) {
        answered.add(id);
      }
      Thread.sleep(300);
      Http.exactly(in, Math.max(0, length - READ_FIRST));
      record.log("server has read the rest of %s", id);
    }
  }

  private static String refusal(String id) {
    return "HTTP/1.1 421 x\r\nX-Request-Id: " + id
        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
}
