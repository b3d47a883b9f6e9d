package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.bench.Load.Turn;

/** A failure domain is taken out by a configuration change and brought back, under load. */
final class DomainScenario implements Scenario {

  private static final int CALLERS = 120;
  private static final int HISTORY_BYTES = 12_000;
  private static final long LOAD_MS = 18_000;
  private static final long OUT_AT_MS = 4000;
  private static final long OUT_MS = 8000;
  private static final Turn TURN = new Turn(400, 24, "interactive");

  @Override
  public String description() {
    return "a failure domain is taken out by a configuration change and brought back, under load";
  }

  @Override
  public DeploymentSpec spec(String policy) {
    return DeploymentSpec.cooperativa(6, 4, policy, 200);
  }

  @Override
  public void run(RunContext context) {
    List<CompletableFuture<Void>> pending = new ArrayList<>();
    List<Conversation> callers = context.load().conversations("domain-", CALLERS, HISTORY_BYTES);
    for (int i = 0; i < CALLERS; i++) {
      Conversation caller = callers.get(i);
      long at = i * LOAD_MS / 2 / CALLERS;
      // Each caller returns once, half of the load time later.
      pending.add(
          context
              .load()
              .later(at, caller, TURN)
              .thenCompose(v -> context.load().later(LOAD_MS / 2, caller, TURN)));
    }
    Deployment.pause(OUT_AT_MS);
    String domain = context.deployment().spec().failureDomain(1);
    set(context.deployment(), domain, "out");
    final long outMs = System.currentTimeMillis();
    Deployment.pause(OUT_MS);
    final long inMs = System.currentTimeMillis();
    set(context.deployment(), domain, "in");
    Load.await(pending);
    context.lateWork().add(domain, outMs, inMs);
    System.out.printf(
        "  %s: %d requests before it was taken out, %d after its return%n",
        domain,
        context.lateWork().accepted(domain, 0, outMs),
        context.lateWork().accepted(domain, inMs, Long.MAX_VALUE));
  }

  private static void set(Deployment deployment, String domain, String state) {
    ObjectNode places = (ObjectNode) deployment.resource("places.json");
    ((ObjectNode) places.path("failureDomains")).put(domain, state);
    deployment.apply("places", places);
  }
}
