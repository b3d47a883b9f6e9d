package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.bench.Load.Turn;
import org.cowslipyoke.bench.Scenario.RunContext;

/** Scenarios that consist of a steady load and one disturbance. */
final class ShortScenarios {

  private static final int CALLERS = 100;
  private static final int HISTORY_BYTES = 12_000;
  private static final long LOAD_MS = 16_000;
  private static final long DISTURB_AT_MS = 4000;
  private static final long DISTURB_MS = 6000;
  private static final long SOAK_MS = 40_000;
  private static final Turn BOOKING = new Turn(400, 24, "interactive");
  private static final Turn DRAFT = new Turn(2000, 96, "overnight");

  private ShortScenarios() {}

  static Map<String, Scenario> all() {
    return Map.of(
        "cold",
        Scenario.of(
            "two engines return to cold start under load", p -> spec(p), ShortScenarios::cold),
        "overnight",
        Scenario.of(
            "long drafts overnight beside interactive look-ups",
            p -> DeploymentSpec.tungysh(6, 3, p, 48),
            ShortScenarios::overnight),
        "links",
        Scenario.of(
            "the link of one store VM becomes slow while conversations return",
            p -> DeploymentSpec.cooperativa(6, 4, p, 32),
            ShortScenarios::links),
        "swap",
        Scenario.of(
            "a new weight version is configured under load", p -> spec(p), ShortScenarios::swap),
        "soak",
        Scenario.of(
            "a longer steady load in which conversations return several times",
            p -> spec(p),
            c -> steady(c, "soak-", SOAK_MS, 4)));
  }

  private static DeploymentSpec spec(String policy) {
    return DeploymentSpec.cooperativa(6, 4, policy, 128);
  }

  private static void cold(RunContext context) {
    final var load = start(context, "cold-", LOAD_MS, 2);
    Deployment.pause(DISTURB_AT_MS);
    for (Deployment.Server server : context.deployment().servers().subList(0, 2)) {
      context.deployment().fault(server.backend(), "{\"coldStart\": \"restart\"}");
    }
    Load.await(load);
  }

  private static void overnight(RunContext context) {
    List<CompletableFuture<Void>> pending = new ArrayList<>();
    for (Conversation draft : context.load().conversations("draft-", CALLERS / 2, 32_000)) {
      pending.add(context.load().later(pending.size() * 100L, draft, DRAFT));
    }
    pending.addAll(start(context, "desk-", LOAD_MS, 2));
    Load.await(pending);
  }

  private static void links(RunContext context) {
    List<Conversation> callers = context.load().conversations("links-", CALLERS / 2, HISTORY_BYTES);
    context.load().everybody(callers, BOOKING, 5000);
    context
        .load()
        .everybody(
            context.load().conversations("other-", CALLERS / 2, HISTORY_BYTES), BOOKING, 5000);
    LocalProcess store = context.deployment().stores().get(0);
    context.deployment().fault(store, "{\"bytesPerSecond\": 200000}");
    context.load().everybody(callers, BOOKING, DISTURB_MS);
    context.deployment().fault(store, "{\"bytesPerSecond\": 0}");
  }

  private static void swap(RunContext context) {
    final var load = start(context, "swap-", LOAD_MS, 2);
    Deployment.pause(DISTURB_AT_MS);
    ObjectNode models = (ObjectNode) context.deployment().resource("models.json");
    models.path("models").forEach(m -> ((ObjectNode) m).put("weightVersion", "v2"));
    context.deployment().apply("models", models);
    Load.await(load);
  }

  private static void steady(RunContext context, String prefix, long loadMs, int turns) {
    Load.await(start(context, prefix, loadMs, turns));
  }

  /** Plans turns of all callers, evenly over the load time. */
  private static List<CompletableFuture<Void>> start(
      RunContext context, String prefix, long loadMs, int turns) {
    List<CompletableFuture<Void>> pending = new ArrayList<>();
    long gapMs = loadMs / turns;
    List<Conversation> callers = context.load().conversations(prefix, CALLERS, HISTORY_BYTES);
    for (int i = 0; i < callers.size(); i++) {
      Conversation caller = callers.get(i);
      CompletableFuture<Void> last = context.load().later(i * gapMs / CALLERS, caller, BOOKING);
      for (int turn = 1; turn < turns; turn++) {
        last = last.thenCompose(v -> context.load().later(gapMs, caller, BOOKING));
      }
      pending.add(last);
    }
    return pending;
  }
}
