package org.cowslipyoke.relay;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.relay.KeptParts.Held;
import org.cowslipyoke.relay.PeerLoads.Load;
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

  /**
   * Cost of a place further down in the hash order, in milliseconds. Below the time to read a small
   * part, so it only decides between servers that are otherwise alike.
   */
  static final double RANK_MS = 2;

  /**
   * Cost of a server in another failure domain, in milliseconds: the prompt and its answer cross a
   * link that users pay for. Below the time to read or to fetch a part of usual size.
   */
  static final double REMOTE_MS = 10;

  /** Cost of a refusal for lack of room a moment ago, in milliseconds. */
  static final double FULL_MS = 400;

  /** Cost of a recent failure, in milliseconds. */
  static final double TROUBLE_MS = 300;

  /** Expected wait at a server that loads weights, in ms: it refuses until the load has ended. */
  static final double LOADING_MS = 2_500;

  /** Cost of weights that are to be replaced, in milliseconds; above any gain from kept parts. */
  static final double OLD_WEIGHTS_MS = 250;

  /** Transfers take twice as long between failure domains; the platform states it. */
  static final double OTHER_DOMAIN_FACTOR = 2;

  /** Time after which a server that gave no sign to its reader is avoided, in milliseconds. */
  static final double SILENT_MS = 2_000;

  private final Clock clock;
  private final String ownDomain;
  private final ServerLoads loads;
  private final PeerLoads peers;
  private final CacheDirectory directory;
  private final KeptParts kept;
  private final long oldWeightsMaxMs;

  /**
   * Creates the placement of an entry.
   *
   * @param ownDomain failure domain of the entry
   * @param oldWeightsMaxMs time after new weights were learned of in which old ones are still used
   */
  public PromptPlacement(
      Clock clock,
      String ownDomain,
      ServerLoads loads,
      PeerLoads peers,
      CacheDirectory directory,
      KeptParts kept,
      long oldWeightsMaxMs) {
    this.clock = clock;
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.peers = peers;
    this.directory = directory;
    this.kept = kept;
    this.oldWeightsMaxMs = oldWeightsMaxMs;
  }

  /** What the placement of one prompt looks at. */
  private record Question(
      Prompt prompt,
      @Nullable OrganisationPolicy tenancy,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates,
      FleetLoad load,
      List<CacheStore> stores,
      Map<String, Integer> fetchableBySalt) {}

  /**
   * A server that could take the prompt.
   *
   * @param expectedMs expected time to the first token
   * @param costMs the same with what speaks against the server but delays no request for sure
   */
  private record Option(
      BackendServer server,
      int weights,
      String salt,
      Held held,
      PromptWork work,
      Load load,
      double expectedMs,
      double costMs) {}

  /** Chooses a server, or none if no candidate holds weights that may be used. */
  public Optional<PromptPlan> choose(
      Prompt p,
      @Nullable OrganisationPolicy tenancy,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates) {
    List<BackendServer> order =
        Rendezvous.top(
            affinity(p).getBytes(StandardCharsets.UTF_8),
            candidates,
            BackendServer::id,
            candidates.size());
    Question q =
        new Question(
            p,
            tenancy,
            state,
            group,
            candidates,
            FleetLoad.of(loads, peers, candidates, state.entries()),
            managedStores(state, group),
            new HashMap<>());
    Option best = null;
    for (int rank = 0; rank < order.size(); rank++) {
      Option o = option(q, order.get(rank), rank);
      if (o != null && (best == null || o.costMs() < best.costMs())) {
        best = o;
      }
    }
    return best == null ? Optional.empty() : Optional.of(plan(q, best));
  }

  /** Returns the stores whose parts are named one by one, the fastest first. */
  private static List<CacheStore> managedStores(FleetState state, ServerGroup group) {
    if (state.desired() == null || group.engine() == null || !group.engine().managedCache()) {
      return List.of();
    }
    return state.desired().stores().stream()
        .filter(CacheStore::managed)
        .sorted(Comparator.comparingDouble(s -> -s.linkMbps()))
        .toList();
  }

  /** Returns the text under which parts are shared: by weights, and by organisation if walled. */
  static String salt(String model, int weights, @Nullable OrganisationPolicy tenancy) {
    String shared = model + ".v" + weights;
    return tenancy != null && tenancy.isolatedCache()
        ? shared + "." + tenancy.organisation()
        : shared;
  }

  private @Nullable Option option(Question q, BackendServer server, int rank) {
    Prompt p = q.prompt();
    int weights = loads.weights(server, p.model());
    if (weights == 0) {
      return null;
    }
    WeightTarget target = q.state().targets().get(p.model());
    boolean old = target != null && weights < target.version();
    if (target != null && old && isFinal(q, target)) {
      return null;
    }
    String salt = salt(p.model(), weights, q.tenancy());
    Held held = kept.heldAt(server, salt, p);
    int fetched = fetchedTokens(q, salt, held);
    int unread = Math.max(1, p.promptTokens() - held.heldTokens() - fetched);
    PromptWork work = PromptWork.of(p, salt, unread);
    Load load = q.load().at(server);
    double expected = expectedMs(q, server, load, work) + fetched * fetchMsPerToken(q);
    double cost = expected + penaltyMs(server, old) + RANK_MS * rank;
    return new Option(server, weights, salt, held, work, load, expected, cost);
  }

  /** Returns the expected time to the first token without fetches. */
  private double expectedMs(Question q, BackendServer server, Load load, PromptWork work) {
    ServerLoad own = loads.of(server);
    double expected = EngineEstimate.FIRST_TOKEN_MS;
    expected += EngineEstimate.readMs(load.prefillTokens() + work.unreadTokens(), load.inFlight());
    expected += memoryWaitMs(q, load, own.addedTokens(work));
    expected += own.isLoading() ? LOADING_MS : 0;
    expected += directory.isSilent(server.address()) ? SILENT_MS : 0;
    return expected;
  }

  /** Returns what speaks against a server though it delays no request for sure. */
  private double penaltyMs(BackendServer server, boolean oldWeights) {
    ServerLoad own = loads.of(server);
    double penalty = server.failureDomain().equals(ownDomain) ? 0 : REMOTE_MS;
    penalty += TROUBLE_MS * own.recentTrouble();
    penalty += oldWeights ? OLD_WEIGHTS_MS : 0;
    penalty += own.isFull() ? FULL_MS : 0;
    return penalty;
  }

  /** Returns whether older weights than the target must not be used for new requests any more. */
  private boolean isFinal(Question q, WeightTarget target) {
    boolean inPlace =
        target.foundAtStart()
            && q.candidates().stream()
                .anyMatch(s -> loads.weights(s, target.model()) >= target.version());
    return inPlace || target.isFinal(clock.nowMs(), oldWeightsMaxMs);
  }

  private double memoryWaitMs(Question q, Load load, long tokens) {
    long capacity = q.group().engine() == null ? 0 : q.group().engine().cacheTokens();
    return EngineEstimate.memoryWaitMs(load, tokens, capacity, loads.residenceMs());
  }

  /** Returns the tokens after the held parts that can be fetched from an engine or a store. */
  private int fetchedTokens(Question q, String salt, Held held) {
    if (q.group().engine() == null || !q.group().engine().managedCache()) {
      return 0;
    }
    int parts =
        q.fetchableBySalt()
            .computeIfAbsent(salt, s -> kept.fetchable(q.candidates(), q.stores(), s, q.prompt()));
    int tokens = 0;
    for (int i = held.heldParts(); i < parts; i++) {
      tokens += q.prompt().parts().get(i).tokens();
    }
    return tokens;
  }

  /** Time to fetch a token from the slowest store in another failure domain. */
  private static double fetchMsPerToken(Question q) {
    ServerGroup.EngineConfig engine = q.group().engine();
    double slowest = q.stores().stream().mapToDouble(CacheStore::linkMbps).min().orElse(0);
    return engine == null || slowest <= 0
        ? 0
        : engine.bytesPerToken() * 8.0 / (slowest * 1_000) * OTHER_DOMAIN_FACTOR;
  }

  private PromptPlan plan(Question q, Option o) {
    Prompt p = q.prompt();
    List<String> none = p.parts().stream().map(x -> "").toList();
    boolean managed = q.group().engine() != null && q.group().engine().managedCache();
    return new PromptPlan(
        o.server(),
        o.weights(),
        o.salt(),
        o.work(),
        o.expectedMs(),
        o.load(),
        managed
            ? kept.sources(
                o.server(), q.candidates(), q.stores(), o.salt(), p, o.held().heldParts())
            : none,
        managed ? kept.targets(q.stores(), o.salt(), p) : none);
  }

  /** The last part belongs to the request, so the one before it names what prompts share. */
  private static String affinity(Prompt p) {
    List<Part> parts = p.parts();
    return parts.isEmpty() ? p.model() : parts.get(Math.max(0, parts.size() - 2)).id();
  }
}
