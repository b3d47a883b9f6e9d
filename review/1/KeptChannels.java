package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send requests of the sheet's size on kept channels, each as soon as the response before
 * it is complete. Without the disruption each request has a channel of its own.
 */
final class KeptChannels {

  private static final String SERVICE = "kafi81c";
  private static final String ID = "i-31b174c273";
  private static final int CALLERS = 8;
  private static final int SECONDS = 45;

  /** Size of a request of the kind regra on the sheet. */
  private static final int BODY = 18_000;

  /** The body consists of blocks of this size; a text about HTTP, as a caller might send it. */
  private static final int BLOCK = 200;

  /** Work of a server at a request; the sheet has 42.9 ms for bookings. */
  private static final int WORK_MS = 38;

  private final boolean trouble;
  private final Record record;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger good = new AtomicInteger();
  private final AtomicInteger bad = new AtomicInteger();
  private final AtomicInteger changed = new AtomicInteger();
  private final AtomicInteger unasked = new AtomicInteger();
  private volatile boolean over;

  private KeptChannels(boolean trouble, Record record) {
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
        Path.of(args[0]), record -> new KeptChannels(trouble, record).play(Path.of(args[1])));
  }

  private int play(Path folder) throws Exception {
    Store store = new Store();
    try (Listener server = new Listener(0, this::serve)) {
      long born = System.currentTimeMillis();
      String route = Deployment.route("/defi252/", "non_idempotent", SERVICE, 5_000, 1);
      store.put("op", "config", Deployment.config(7, SERVICE, route));
      store.put("servers", ID, Deployment.server(SERVICE, server.address(), born));
      try (Entry entry = new Entry(folder, "edge-santarem-1", store.address())) {
        entry.awaitReady();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
          int n = i;
          callers.add(Listener.thread(() -> call(entry, n)));
        }
        Thread.sleep(SECONDS * 1_000L);
        over = true;
        for (Thread t : callers) {
          t.join(6_000);
        }
      }
    }
    String result =
        String.format(
            "sent %d, answered with 200: %d, otherwise: %d; run with a changed body: %d, run though"
                + " no caller sent it: %d",
            sent.get(), good.get(), bad.get(), changed.get(), unasked.get());
    record.log("%s", result);
    System.out.println(result);
    if (good.get() < SECONDS * 10) {
      return 2;
    }
    return changed.get() + unasked.get() > 0 ? 1 : 0;
  }

  /**
   * Returns the body of a request: numbered blocks, each a quotation of a request. Blocks are
   * aligned to the head, so that one begins 8 KiB after the beginning of the message.
   */
  private static byte[] body(String id, int headBytes) {
    StringBuilder b = new StringBuilder("x".repeat(((8 << 10) - headBytes) % BLOCK));
    for (int i = 0; b.length() < BODY; i++) {
      String quote =
          String.format(
              "POST /defi252/quoted HTTP/1.1\r\nHost: %s\r\nX-Request-Id: quoted-%s-%04d\r\n"
                  + "Authorization: Bearer %s\r\nX-Fill: ",
              Deployment.HOST, id, i, Deployment.KEY);
      b.append(quote).append("y".repeat(BLOCK - 4 - quote.length())).append("\r\n\r\n");
    }
    return b.substring(0, BODY).getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String head(String id) {
    return Deployment.request("POST", "/defi252/2f", id, BODY, 5_000);
  }

  private void call(Entry entry, int n) {
    int k = 0;
    while (!over) {
      try (Socket s = entry.connect()) {
        s.setSoTimeout(6_000);
        OutputStream out = s.getOutputStream();
        InputStream in = new BufferedInputStream(s.getInputStream());
        boolean keep = true;
        while (keep && !over) {
          keep = exchange(String.format("%08x%08x", n, k++), out, in) && trouble;
        }
      } catch (IOException e) {
        bad.incrementAndGet();
        record.log("caller gets %s", e);
      }
    }
  }

  /** Sends a request and reads its response; returns whether the channel can be kept. */
  private boolean exchange(String id, OutputStream out, InputStream in) throws IOException {
    sent.incrementAndGet();
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(head(id).getBytes(StandardCharsets.ISO_8859_1));
    message.writeBytes(body(id, head(id).length()));
    out.write(message.toByteArray());
    Http.Head h = Http.head(in);
    if (h == null) {
      bad.incrementAndGet();
      record.log("caller gets a closed channel for %s", id);
      return false;
    }
    Http.body(in, h, true);
    if (h.status() != 200) {
      bad.incrementAndGet();
      record.log("caller gets %s for %s", h.line(), id);
      return false;
    }
    good.incrementAndGet();
    return h.header("Connection").isEmpty();
  }

  private void serve(Socket s, InputStream in) throws Exception {
    for (Http.Head h = Http.head(in); h != null; h = Http.head(in)) {
      String id = h.header("X-Request-Id");
      byte[] b = Http.exactly(in, Integer.parseInt("0" + h.header("Content-Length")));
      if (id.startsWith("quoted")) {
        unasked.incrementAndGet();
        record.log("server runs %s (%s), which no caller sent", id, h.line());
      } else if (!Arrays.equals(b, body(id, head(id).length()))) {
        changed.incrementAndGet();
        record.log("server runs %s with a changed body", id);
      }
      Thread.sleep(WORK_MS);
      s.getOutputStream()
          .write((Deployment.response(id, 2) + "ok").getBytes(StandardCharsets.ISO_8859_1));
    }
  }
}
