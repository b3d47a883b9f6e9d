package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A store restarts while requests that are to fetch from it wait in the queue of their server. */
public final class Case6 {
  private static final String MODEL = "daka510000";
  private static final String HOST = "nylo40.example";
  private static final int SLOTS = 4;
  private static final int PARTS = 30;
  private static final int ROUNDS = 4;
  private static final int PART_TOKENS = 7_520;
  private static final int OWN_TOKENS = 1_670;

  /** Objective and deadline of the longest prompts on the sheets in force (rmca, plan-digest). */
  private static final int OBJECTIVE_MS = 1_200;

  private static final int DEADLINE_MS = 5_000;

  private Case6() {}

  public static void main(String[] args) {
    Lab.run(args, Case6::run);
  }

  private static boolean run(Lab lab) throws Exception {
    Engine.sheet = Engine.PLANS;
    PlatformTable table = new PlatformTable(lab);
    KvStore store = new KvStore(lab, "lepu27h", "almeirim", 300_000, 6);
    AtomicInteger broken = new AtomicInteger();
    AtomicInteger whole = new AtomicInteger();
    Set<String> begun = ConcurrentHashMap.newKeySet();
    Engine.Listener judge =
        new Engine.Listener() {
          @Override
          public void fetched(Engine e, String id, String part, KvStore.Fetched f) {
            lab.log(
                "request " + id + " at " + e.id + " fetches part " + part + ": " + f.state()
                    + ", complete " + f.complete() + " of " + f.tokens() + " tokens");
            begun.add(part);
            if (f.state() == KvStore.State.BEING_WRITTEN) {
              broken.incrementAndGet();
              lab.log("MIXED: request " + id + " takes memory that isn't whole at the store");
            } else if (f.state() == KvStore.State.WHOLE) {
              whole.incrementAndGet();
            }
          }

          @Override
          public void ran(Engine e, String id, com.sun.net.httpserver.HttpExchange x) {
            lab.log(
                "request " + id + " runs at " + e.id + " fetch=" + Engine.header(x, "X-Kv-Fetch")
                    + " until=" + Engine.header(x, "X-Kv-Until") + " save="
                    + Engine.header(x, "X-Kv-Save"));
          }
        };
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      String zone = i == 0 ? "santarem" : Lab.ZONES.get(1 + i % 2);
      engines.add(
          new Engine(
              lab, table, Map.of(store.address(), store), "i-7f3a91c" + i, zone, "huvo11a", SLOTS,
              List.of(MODEL), judge));
    }
    table.put(
        "op",
        "config",
        Json.object(
            "Version",
            7,
            "Routes",
            List.of(
                Json.object(
                    "Name", "r-1", "Host", HOST, "Prefix", "/kafi500/", "Kind", "streaming",
                    "TimeoutMs", DEADLINE_MS, "TargetLatencyMs", OBJECTIVE_MS, "Priority", 2,
                    "Service", "huvo11a", "MaxAttempts", 2, "NoAuth", true, "Affinity", true,
                    "Resumable", true, "GapTargetMs", 500),
                Json.object(
                    "Name", "r-2", "Host", HOST, "Prefix", "/daka41/", "Kind", "streaming",
                    "TimeoutMs", 15_000, "TargetLatencyMs", OBJECTIVE_MS, "Priority", 2,
                    "Service", "huvo11a", "MaxAttempts", 1, "NoAuth", true, "Affinity", true,
                    "Resumable", false, "GapTargetMs", 500)),
            "Services",
            List.of(store.service(), Engine.service("huvo11a", SLOTS, List.of(MODEL))),
            "Limits",
            Json.object(
                "MaxHeaderBytes", 16_384, "MaxBodyBytes", 4_194_304, "HeaderTimeoutMs", 3_000,
                "IdleTimeoutMs", 15_000)));
    Lab.EntryNode entry = lab.entry("edge-santarem-1", "santarem", table);
    entry.awaitReady();
    Lab.sleep(4_000);

    for (int round = 0; round < ROUNDS && broken.get() == 0; round++) {
      runRound(lab, entry, store, begun);
    }
    lab.log("fetches of whole parts: " + whole + ", of parts that were being written: " + broken);
    Lab.require(whole.get() > 0, "no request fetched from the store");
    return broken.get() > 0;
  }

  private static void runRound(
      Lab lab, Lab.EntryNode entry, KvStore store, Set<String> begun) throws Exception {
    lab.log("step 1: each part is read once and saved to the store");
    for (int i = 0; i < PARTS; i++) {
      send(lab, entry, part(i), 1, DEADLINE_MS).get();
    }
    Lab.sleep(1_000);
    Lab.require(store.size() >= PARTS, "the parts are not at the store: " + store.size());

    lab.log("step 2: long answers take all places of the server in the entry's zone");
    List<Future<?>> all = new ArrayList<>();
    long longFrom = lab.ms();
    begun.clear();
    for (int i = 0; i < SLOTS; i++) {
      all.add(send(lab, entry, "long" + i, 280 + 8 * i, 15_000));
      Lab.sleep(15);
    }
    Lab.sleep(100);
    lab.log("step 3: requests for the parts, which wait at their servers");
    for (int i = 0; i < PARTS; i++) {
      all.add(send(lab, entry, part(i), 5, DEADLINE_MS));
    }
    Lab.sleep(200);
    if (lab.trouble) {
      store.crash(100);
    }
    // The entry saves nothing to a store for 2.5 s after it saw the restart.
    Lab.sleep(longFrom + 3_850 - lab.ms());
    lab.log("step 4: other requests for the parts of those that still wait");
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < PARTS; i++) {
      if (!begun.contains(part(i))) {
        order.add(i);
      }
    }
    Collections.shuffle(order);
    for (int i : order) {
      all.add(send(lab, entry, part(i), 5, DEADLINE_MS));
    }
    for (Future<?> f : all) {
      f.get();
    }
  }

  private static String part(int i) {
    return String.format("5c1e%04x", i);
  }

  private static final AtomicLong OWN = new AtomicLong();

  private static Future<?> send(
      Lab lab, Lab.EntryNode entry, String part, int out, int deadlineMs) {
    String id = lab.nextId();
    String own = String.format("e440%04x", OWN.incrementAndGet());
    boolean longAnswer = part.startsWith("long");
    String prompt =
        longAnswer ? own + ":177" : part + ":" + PART_TOKENS + "," + own + ":" + OWN_TOKENS;
    int in = longAnswer ? 177 : PART_TOKENS + OWN_TOKENS;
    Call c =
        Call.of(entry.front, "POST", longAnswer ? "/daka41/2f" : "/kafi500/2f", HOST)
            .with("X-Request-Id", id)
            .with("X-Model", MODEL)
            .with("X-Token-Count", in + "," + out)
            .with("X-Length-Hint", String.valueOf(out))
            .with("X-Prompt-Prefix", prompt)
            .with("X-Deadline-Ms", String.valueOf(deadlineMs))
            .body("prompt".getBytes(java.nio.charset.StandardCharsets.US_ASCII))
            // Requesters leave after a gap of four times the objective.
            .patience(4 * OBJECTIVE_MS);
    return lab.threads.submit(
        () -> {
          long from = lab.ms();
          try {
            Call.Answer a = c.send();
            lab.log(
                "request " + id + " (" + part + ", sent at " + from + ") gets " + a.status
                    + (a.timedOut ? ", the requester left" : "") + ", " + a.body.length()
                    + " bytes");
          } catch (IOException e) {
            lab.log("request " + id + " (" + part + ", sent at " + from + ") failed: " + e);
          }
        });
  }
}
