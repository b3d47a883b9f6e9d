package org.cowslipyoke.relay;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.relay.KeptParts.Held;
import org.cowslipyoke.relay.Prompt.Part;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Places prompts: the server with the least expected time to the first token. A prompt goes where
 * its parts are held, until the work that waits there takes longer than reading or fetching them
 * elsewhere, so a popular prefix spreads over more servers as its load grows.
 */
public final class PromptPlacement {

  /** Prompt tokens that an engine reads in a millisecond; from the sheets of both users. */
  static final double READ_TOKENS_PER_MS = 74.8;

  /** Expected cost of a request that runs beside others, in ms: its tokens share each step. */
  static final double RUNNING_MS = 1.5;

  /**
   * Cost of a place further down in the hash order, in milliseconds. Below the time to read a small
   * part, so it only decides between servers that are otherwise alike.
   */
  static final double RANK_MS = 2;

  /** Part of an engine's memory that running requests may fill before newer ones are preempted. */
  static final double MEMORY_PART = 0.85;

  /** Expected wait where the memory is full, in milliseconds: until a run ends. */
  static final double MEMORY_FULL_MS = 400;

  /** Cost of a recent failure, in milliseconds. */
  static final double TROUBLE_MS = 300;

  /** Expected wait at a server that loads weights, in ms: it refuses until the load has ended. */
  static final double LOADING_MS = 2_500;

  /** Cost of weights that are to be replaced, in milliseconds; above any gain from kept parts. */
  static final double OLD_WEIGHTS_MS = 250;

  /** Time after which a server that gave no sign to its reader is avoided, in milliseconds. */
  static final double SILENT_MS = 2_000;

  private final Clock clock;
  private final ServerLoads loads;
  private final CacheDirectory directory;
  private final KeptParts kept;
  private final long oldWeightsMaxMs;

  /**
   * Creates the placement.
   *
   * @param oldWeightsMaxMs time after new weights were learned of in which old ones are still used
   */
  public PromptPlacement(
      Clock clock,
      ServerLoads loads,
      CacheDirectory directory,
      KeptParts kept,
      long oldWeightsMaxMs) {
    this.clock = clock;
    this.loads = loads;
    this.directory = directory;
    this.kept = kept;
    this.oldWeightsMaxMs = oldWeightsMaxMs;
  }

  /**
   * Work of the other entries at one server. They are taken to have as much as this one, spread
   * over all servers: what this entry has at one server says nothing about what they have there.
   */
  private record Others(double unreadTokens, double residentTokens) {}

  private Others others(FleetState state, List<BackendServer> candidates) {
    double unread = 0;
    double resident = 0;
    for (BackendServer s : candidates) {
      unread += loads.of(s).unreadTokens();
      resident += loads.of(s).residentTokens();
    }
    double part = (state.entries() - 1.0) / Math.max(1, candidates.size());
    return new Others(unread * part, resident * part);
  }

  /**
   * A server that could take the prompt.
   *
   * @param expectedMs expected time to the first token
   * @param costMs the same with what speaks against the server but delays no request for sure
   */
  private record Option(
      BackendServer server, int weights, Held held, double expectedMs, double costMs) {}

  /** Chooses a server, or none if no candidate holds weights that may be used. */
  public Optional<PromptPlan> choose(
      Prompt p,
      @Nullable Tenancy tenancy,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates) {
    List<BackendServer> order =
        Rendezvous.top(
            affinity(p).getBytes(StandardCharsets.UTF_8),
            candidates,
            BackendServer::id,
            candidates.size());
    Others others = others(state, candidates);
    Option best = null;
    for (int rank = 0; rank < order.size(); rank++) {
      Option o = option(p, tenancy, state, group, others, order.get(rank), rank);
      if (o != null && (best == null || o.costMs() < best.costMs())) {
        best = o;
      }
    }
    return best == null
        ? Optional.empty()
        : Optional.of(plan(p, tenancy, state, group, candidates, best));
  }

  /** Returns the text under which parts are shared: by weights, and by organisation if walled. */
  static String salt(String model, int weights, @Nullable Tenancy tenancy) {
    String shared = model + ".v" + weights;
    return tenancy != null && tenancy.walled() ? shared + "." + tenancy.organisation() : shared;
  }

  private @Nullable Option option(
      Prompt p,
      @Nullable Tenancy tenancy,
      FleetState state,
      ServerGroup group,
      Others others,
      BackendServer server,
      int rank) {
    Integer listed = server.weights(p.model());
    if (listed == null) {
      return null;
    }
    ServerLoad load = loads.of(server);
    int weights = Math.max(listed, load.weights());
    WeightTarget target = state.targets().get(p.model());
    boolean old = target != null && weights < target.version();
    if (target != null && old && target.isFinal(clock.nowMs(), oldWeightsMaxMs)) {
      return null;
    }
    Held held = kept.heldAt(server, salt(p.model(), weights, tenancy), p);
    double expected = (p.promptTokens() - held.heldTokens()) / READ_TOKENS_PER_MS;
    expected += (load.unreadTokens() + others.unreadTokens()) / READ_TOKENS_PER_MS;
    expected += RUNNING_MS * load.inFlight();
    expected += load.isLoading() ? LOADING_MS : 0;
    expected += directory.isSilent(server.address()) ? SILENT_MS : 0;
    double resident = load.residentTokens() + others.residentTokens();
    double cost = expected + memoryCost(group, resident + p.promptTokens());
    cost += TROUBLE_MS * load.recentTrouble() + RANK_MS * rank;
    cost += old ? OLD_WEIGHTS_MS : 0;
    cost += load.isFull() ? MEMORY_FULL_MS : 0;
    return new Option(server, weights, held, expected, cost);
  }

  private PromptPlan plan(
      Prompt p,
      @Nullable Tenancy tenancy,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates,
      Option o) {
    String salt = salt(p.model(), o.weights(), tenancy);
    List<CacheStore> stores =
        state.desired() == null
            ? List.of()
            : state.desired().stores().stream()
                .filter(CacheStore::managed)
                .sorted(Comparator.comparingDouble(s -> -s.linkMbps()))
                .toList();
    boolean managed = group.engine() != null && group.engine().managedCache();
    List<String> none = p.parts().stream().map(x -> "").toList();
    List<String> sources =
        managed
            ? kept.sources(o.server(), candidates, stores, salt, p, o.held().heldParts())
            : none;
    int fetched = 0;
    for (int i = o.held().heldParts(); i < sources.size(); i++) {
      fetched += sources.get(i).isEmpty() ? 0 : p.parts().get(i).tokens();
    }
    int unread = Math.max(1, p.promptTokens() - o.held().heldTokens() - fetched);
    return new PromptPlan(
        o.server(),
        o.weights(),
        salt,
        unread,
        (long) p.promptTokens() + p.answerTokens(),
        o.expectedMs(),
        sources,
        managed ? kept.targets(stores, salt, p) : none);
  }

  private static double memoryCost(ServerGroup group, double resident) {
    if (group.engine() == null) {
      return 0;
    }
    double limit = MEMORY_PART * group.engine().cacheTokens();
    return resident > limit ? MEMORY_FULL_MS * resident / limit : 0;
  }

  /** The last part belongs to the request, so the one before it names what prompts share. */
  private static String affinity(Prompt p) {
    List<Part> parts = p.parts();
    return parts.isEmpty() ? p.model() : parts.get(Math.max(0, parts.size() - 2)).id();
  }
}
