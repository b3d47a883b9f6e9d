package review2;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * A model server. It processes {@code slots} requests at once and queues others; prompts are
 * prefilled in pieces of 1,024 tokens, one piece after another. A part that it has read yields at
 * once to the prompts of others, so it holds no cached parts itself.
 */
final class Engine {
  /** Figures of a sheet. */
  record Sheet(
      long tokenBytes, double prefillTokensPerMs, int piece, long loadMs, double linkMbps) {}

  /** The sheets of sites/: assistente and strip-llm. */
  static final Sheet SMALL = new Sheet(35_136, 74.8, 1_024, 1_900, 740_000);

  /** The sheet of demands/rmca-plans-grown: guide-llm. */
  static final Sheet PLANS = new Sheet(262_144, 41.4, 2_048, 380, 550_000);

  /** The sheet that all servers of a case follow. */
  static volatile Sheet sheet = SMALL;

  /** Is told of what a request does; returns nothing. */
  interface Listener {
    default void fetched(Engine e, String requestId, String part, KvStore.Fetched f) {}

    default void reused(Engine e, String requestId, String part, String madeFor, String tenant) {}

    default void ran(Engine e, String requestId, HttpExchange x) {}

    default void used(Engine e, String requestId, String part, Set<Integer> madeUnder, int runs) {}
  }

  final String id;
  final String zone;
  final String service;
  final int port = Lab.freePort();
  final Map<String, Integer> versions = new LinkedHashMap<>();
  private final Lab lab;
  private final PlatformTable table;
  private final Map<String, KvStore> stores;
  private final int slots;
  private final Semaphore running;
  private final Listener listener;
  private final Object compute = new Object();
  private final long born = System.currentTimeMillis();
  private final int queueLimit = 384;
  private volatile String loading = "";
  private volatile boolean stopped;
  private long accepted;
  private long beats;

  /** The tenants for which parts were read that the server keeps, by salt and part. */
  private final Map<String, String> kept = new ConcurrentHashMap<>();

  /** Time between two tokens of a run, in milliseconds. */
  volatile long tokenMs = 15;

  Engine(
      Lab lab,
      PlatformTable table,
      Map<String, KvStore> stores,
      String id,
      String zone,
      String service,
      int slots,
      List<String> models,
      Listener listener) {
    this.lab = lab;
    this.table = table;
    this.stores = stores;
    this.id = id;
    this.zone = zone;
    this.service = service;
    this.slots = slots;
    this.running = new Semaphore(slots, true);
    this.listener = listener;
    models.forEach(m -> versions.put(m, 1));
    lab.serve(port, this::handle);
    lab.threads.execute(
        () -> {
          while (!stopped) {
            beat();
            Lab.sleep(1_200);
          }
        });
  }

  /** Returns the service of the desired state that this server belongs to. */
  static Map<String, Object> service(String name, int slots, List<String> models) {
    List<Object> named = new ArrayList<>();
    models.forEach(m -> named.add(Json.object("Name", m)));
    return Json.object(
        "Name",
        name,
        "HealthPath",
        "/healthz",
        "MaxConnections",
        620,
        "Protocol",
        "h1",
        "Tls",
        false,
        "ColdStartS",
        3.0,
        "ColdPerS",
        15.0,
        "Engine",
        Json.object(
            "Slots", slots, "KvCapacity", 64_644, "KvTokenBytes", sheet.tokenBytes(), "LinkMbps",
            sheet.linkMbps(), "Moves", true, "Backups", true, "Managed", true, "Stride", 4, "MaxInflight",
            12, "PinMs", 4_000.0, "HoldMs", 2_000.0, "handle_s", 5.0, "Models", named));
  }

  private List<Object> models() {
    List<Object> l = new ArrayList<>();
    synchronized (versions) {
      versions.forEach(
          (m, v) -> l.add(Json.object("Name", m, "Version", v, "Adapters", List.of())));
    }
    return l;
  }

  int version(String model) {
    synchronized (versions) {
      return versions.getOrDefault(model, 0);
    }
  }

  private synchronized void beat() {
    table.put(
        "servers",
        id,
        Json.object(
            "Service",
            service,
            "Address",
            "127.0.0.1:" + port,
            "Zone",
            zone,
            "Version",
            "v1",
            "Slots",
            slots,
            "State",
            "ready",
            "ColdRemainingMs",
            0,
            "Stage",
            "both",
            "Models",
            models(),
            "born",
            born,
            "Seq",
            ++beats));
  }

  private void handle(HttpExchange x) throws IOException {
    String expected = x.getRequestHeaders().getFirst("X-Expect-Instance");
    x.getResponseHeaders().set("X-Instance-Id", id);
    if (expected != null && !expected.equals(id)) {
      refuse(x, 421);
      return;
    }
    switch (x.getRequestURI().getPath()) {
      case "/kv-events" -> {
        Lab.sleep(Lab.number(x.getRequestHeaders().getFirst("Wait-Ms"), 0));
        Lab.json(
            x,
            200,
            Json.object("Epoch", born, "Next", 0L, "Lost", false, "Events", List.of(), "born", born));
      }
      case "/kv-list" ->
          Lab.json(x, 200, Json.object("Epoch", born, "Next", 0L, "Held", List.of()));
      case "/healthz" -> Lab.answer(x, 200, "text/plain", "ok");
      case "/report" ->
          Lab.json(
              x,
              200,
              Json.object(
                  "Stage", "both", "Models", models(), "Busy", !loading.isEmpty(), "Seq", accepted,
                  "Waiting", running.getQueueLength(), "Running",
                  slots - running.availablePermits(), "KvUsed", 0, "KvTotal", 64_644, "Handles", 0,
                  "born", born));
      case "/order" -> order(x);
      default -> request(x);
    }
  }

  private static void refuse(HttpExchange x, int status) throws IOException {
    String requestId = x.getRequestHeaders().getFirst("X-Request-Id");
    x.getRequestBody().readAllBytes();
    x.getResponseHeaders().set("X-Not-Executed", "1");
    if (requestId != null) {
      x.getResponseHeaders().set("X-Request-Id", requestId);
    }
    Lab.answer(x, status, "text/plain", "not run");
  }

  private void order(HttpExchange x) throws IOException {
    Map<?, ?> o =
        (Map<?, ?>)
            Json.parse(new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
    String model = (String) o.get("Model");
    int version = ((Long) o.get("Version")).intValue();
    int status;
    synchronized (this) {
      if (!loading.isEmpty()
          || (o.get("Expected") instanceof Long e && e.longValue() != accepted)) {
        status = 409;
      } else if (version(model) == version) {
        status = 200;
      } else {
        status = 202;
        accepted++;
        loading = model;
        lab.threads.execute(() -> load(model, version));
      }
    }
    lab.log("order at " + id + ": " + Json.write(o) + " -> " + status);
    Lab.json(x, status, Json.object());
  }

  private void load(String model, int version) {
    Lab.sleep(sheet.loadMs());
    synchronized (versions) {
      versions.put(model, version);
    }
    lab.log(id + " has version " + version + " of " + model);
    loading = "";
    beat();
  }

  private void request(HttpExchange x) throws IOException {
    String model = header(x, "X-Model");
    String expected = header(x, "X-Expect-Version");
    int at = version(model);
    if (!expected.isEmpty() && Integer.parseInt(expected) != at) {
      refuse(x, 421);
      return;
    }
    byte[] body = x.getRequestBody().readAllBytes();
    if (!begin(model)) {
      refuse(x, 503);
      return;
    }
    try {
      if (!expected.isEmpty() && Integer.parseInt(expected) != version(model)) {
        refuse(x, 421);
        return;
      }
      reuse(x);
      prefill(x, model);
      listener.ran(this, header(x, "X-Request-Id"), x);
      generate(x, model, body.length);
    } finally {
      running.release();
    }
  }

  /** Waits for a slot; returns false if the server refuses the request meanwhile. */
  private boolean begin(String model) {
    if (running.getQueueLength() >= queueLimit) {
      return false;
    }
    running.acquireUninterruptibly();
    if (loading.equals(model)) {
      running.release();
      return false;
    }
    return true;
  }

  /** Keeps the parts of a prompt under its salt, and tells of those that were kept before. */
  private void reuse(HttpExchange x) {
    String prefix = header(x, "X-Prompt-Prefix");
    String tenant = header(x, "X-Tenant");
    for (String p : prefix.isEmpty() ? new String[0] : prefix.split(",")) {
      String part = p.substring(0, p.indexOf(':'));
      String madeFor = kept.putIfAbsent(header(x, "X-Cache-Salt") + " " + part, tenant);
      if (madeFor != null) {
        listener.reused(this, header(x, "X-Request-Id"), part, madeFor, tenant);
      }
    }
  }

  private void prefill(HttpExchange x, String model) {
    String requestId = header(x, "X-Request-Id");
    String salt = header(x, "X-Cache-Salt");
    String[] fetch = header(x, "X-Kv-Fetch").split(",", -1);
    String[] save = header(x, "X-Kv-Save").split(",", -1);
    String prefix = header(x, "X-Prompt-Prefix");
    String[] prompt = prefix.isEmpty() ? new String[0] : prefix.split(",");
    int atStart = version(model);
    boolean together = true;
    for (int i = 0; i < prompt.length; i++) {
      String part = prompt[i].substring(0, prompt[i].indexOf(':'));
      int tokens = Integer.parseInt(prompt[i].substring(prompt[i].indexOf(':') + 1));
      KvStore from = i < fetch.length ? stores.get(fetch[i]) : null;
      if (together && from != null) {
        KvStore.Fetched f = from.fetch(salt, part);
        listener.fetched(this, requestId, part, f);
        if (f.state() != KvStore.State.ABSENT) {
          listener.used(this, requestId, part, f.madeUnder(), atStart);
          continue;
        }
      }
      together = false;
      Set<Integer> madeUnder = read(model, tokens);
      KvStore to = i < save.length ? stores.get(save[i]) : null;
      if (to != null) {
        to.save(salt, part, tokens, model, zone, madeUnder);
      }
    }
  }

  /** Prefills tokens in pieces; returns the versions of the weights that read them. */
  private Set<Integer> read(String model, int tokens) {
    Set<Integer> madeUnder = new TreeSet<>();
    for (int left = tokens; left > 0; left -= sheet.piece()) {
      while (loading.equals(model)) {
        Lab.sleep(5);
      }
      synchronized (compute) {
        Lab.sleep(Math.round(Math.min(left, sheet.piece()) / sheet.prefillTokensPerMs()));
        madeUnder.add(version(model));
      }
    }
    return madeUnder;
  }

  private void generate(HttpExchange x, String model, int bodyBytes) throws IOException {
    String requestId = header(x, "X-Request-Id");
    String[] counts = header(x, "X-Token-Count").split(",");
    int out = counts.length > 1 ? Integer.parseInt(counts[1]) : 1;
    x.getResponseHeaders().set("X-Request-Id", requestId);
    x.getResponseHeaders().set("X-Server-Seal", "seal." + id + "." + requestId);
    x.getResponseHeaders().set("X-Weight-Versions", String.valueOf(version(model)));
    x.getResponseHeaders().set("Content-Type", "text/event-stream");
    x.sendResponseHeaders(200, 0);
    OutputStream o = x.getResponseBody();
    for (int i = 1; i <= out; i++) {
      o.write(("id: " + i + "\ndata: token\n\n").getBytes(StandardCharsets.US_ASCII));
      o.flush();
      Lab.sleep(tokenMs);
    }
  }

  static String header(HttpExchange x, String name) {
    String v = x.getRequestHeaders().getFirst(name);
    return v == null ? "" : v;
  }
}
