package review2;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A managed store of kept KV cache. It never drops a part on its own, except as it restarts. */
final class KvStore {
  /** State of a part at the moment at which a server fetches it. */
  enum State {
    ABSENT,
    BEING_WRITTEN,
    WHOLE
  }

  /** A fetch and what the store had of the part. */
  record Fetched(State state, int tokens, int complete, Set<Integer> madeUnder) {}

  private record Part(int tokens, long fromMs, long untilMs, Set<Integer> madeUnder) {}

  final int port = Lab.freePort();
  final String name;
  final String zone;
  private final Lab lab;
  private final double linkMbps;
  private final double firstMs;
  private final Map<String, Part> parts = new LinkedHashMap<>();
  private final List<List<Object>> events = new ArrayList<>();
  private long linkFreeMs;
  private long epoch = 77_120;
  private volatile boolean down;

  KvStore(Lab lab, String name, String zone, double linkMbps, double firstMs) {
    this.lab = lab;
    this.name = name;
    this.zone = zone;
    this.linkMbps = linkMbps;
    this.firstMs = firstMs;
    lab.serve(port, this::handle);
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Returns the service of the desired state that names this store. */
  Map<String, Object> service() {
    return Json.object(
        "Name", name, "KvStoreAddr", address(), "Zone", zone, "KvCapacity", 1_205_532, "LinkMbps",
        linkMbps, "MaxInflight", 12, "Managed", true, "first_ms", firstMs);
  }

  /**
   * Saves a part that a server has read: its space is reserved at once, and the transfer waits for
   * earlier ones on the link. Between zones it takes twice as long.
   */
  synchronized void save(
      String salt, String id, int tokens, String model, String fromZone, Set<Integer> madeUnder) {
    String key = salt + " " + id;
    if (down || parts.containsKey(key)) {
      return;
    }
    double factor = fromZone.equals(zone) ? 1 : 2;
    double ms = firstMs + factor * tokens * Engine.sheet.tokenBytes() * 8 / (linkMbps * 1_000);
    long from = Math.max(lab.ms(), linkFreeMs);
    linkFreeMs = from + Math.round(ms);
    long until = linkFreeMs;
    parts.put(key, new Part(tokens, from, until, new TreeSet<>(madeUnder)));
    long savedIn = epoch;
    lab.threads.execute(
        () -> {
          Lab.sleep(until - lab.ms());
          announce(savedIn, salt, id, tokens, model);
        });
  }

  private synchronized void announce(
      long savedIn, String salt, String id, int tokens, String model) {
    if (!down && epoch == savedIn) {
      events.add(Arrays.asList(events.size() + 1L, "+", salt, id, tokens, model));
      notifyAll();
    }
  }

  /** Fetches a part, as a server does: all tokens for which space is reserved. */
  synchronized Fetched fetch(String salt, String id) {
    Part p = down ? null : parts.get(salt + " " + id);
    if (p == null) {
      return new Fetched(State.ABSENT, 0, 0, Set.of());
    }
    long now = lab.ms();
    if (now >= p.untilMs) {
      return new Fetched(State.WHOLE, p.tokens, p.tokens, p.madeUnder);
    }
    double done = (double) (now - p.fromMs) / (p.untilMs - p.fromMs);
    int complete = (int) Math.max(0, done * p.tokens);
    return new Fetched(State.BEING_WRITTEN, p.tokens, complete, p.madeUnder);
  }

  /** Crashes; the store returns empty. */
  void crash(long forMs) {
    lab.log("store " + name + " crashes for " + forMs + " ms");
    synchronized (this) {
      down = true;
      parts.clear();
      events.clear();
      notifyAll();
    }
    Lab.sleep(forMs);
    synchronized (this) {
      epoch++;
      linkFreeMs = 0;
      down = false;
    }
    lab.log("store " + name + " is back, empty, epoch " + epoch);
  }

  synchronized int size() {
    return parts.size();
  }

  private void handle(HttpExchange x) throws IOException {
    if (down) {
      return;
    }
    switch (x.getRequestURI().getPath()) {
      case "/kv-events" -> {
        long since = Lab.number(Lab.query(x).get("Since"), 0);
        long wait = Lab.number(x.getRequestHeaders().getFirst("Wait-Ms"), 0);
        Object r = eventsAfter(since, wait);
        if (r != null) {
          Lab.json(x, 200, r);
        }
      }
      case "/kv-list" -> Lab.json(x, 200, list());
      case "/report" ->
          Lab.json(x, 200, Json.object("KvUsed", 0, "KvTotal", 1_205_532, "Epoch", epoch));
      default -> Lab.json(x, 404, Json.object());
    }
  }

  private synchronized Object eventsAfter(long since, long waitMs) {
    long until = lab.ms() + waitMs;
    long at = epoch;
    while (events.size() <= since && lab.ms() < until && !down && epoch == at) {
      try {
        wait(Math.max(1, until - lab.ms()));
      } catch (InterruptedException e) {
        return null;
      }
    }
    if (down || epoch != at) {
      return null;
    }
    int from = (int) Math.min(since, events.size());
    return Json.object(
        "Epoch",
        epoch,
        "Next",
        (long) events.size(),
        "Lost",
        false,
        "Events",
        List.copyOf(events.subList(from, events.size())));
  }

  private synchronized Object list() {
    List<Object> held = events.stream().<Object>map(e -> e.subList(2, 6)).toList();
    return Json.object(
        "Epoch", epoch, "Next", (long) events.size(), "Held", held, "Partial", List.of());
  }
}
