package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipyoke.relay.Prompt.Part;
import org.cowslipyoke.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Selects the nodes from which the cached parts of a prompt are fetched and the stores to which its
 * parts are saved, so that a prompt need not be prefilled again after the engines evicted it. A
 * weighted rendezvous hash maps each shared part to one store, so that the part is stored only
 * once.
 */
public final class CacheTransferPlanner {

  /**
   * Block size of the engines' KV caches in tokens; a cached part may lack its last, incomplete
   * block.
   */
  static final int BLOCK_TOKENS = 16;

  /** Time after the start of a save in which the same part is not saved again. */
  private static final Duration SAVE_DURATION = Duration.ofSeconds(3);

  /** Maximum number of tracked saves; above what an entry starts within {@link #SAVE_DURATION}. */
  private static final int MAX_STARTED_SAVES = 4_096;

  private final CacheDirectory directory;
  private final PendingTransfers pending;
  private final Cache<CacheContents.Key, Boolean> startedSaves =
      Caffeine.newBuilder()
          .maximumSize(MAX_STARTED_SAVES)
          .expireAfterWrite(SAVE_DURATION)
          .executor(Runnable::run)
          .build();

  /**
   * Creates a planner that reads the given directory.
   *
   * @param pending transfers of requests that were sent
   */
  public CacheTransferPlanner(CacheDirectory directory, PendingTransfers pending) {
    this.directory = directory;
    this.pending = pending;
  }

  /**
   * Leading parts of a prompt that a server has cached.
   *
   * @param tokens cached tokens of the leading parts
   * @param wholeParts number of leading parts that are cached completely
   */
  record CachedPrefix(int tokens, int wholeParts) {}

  /** Returns the leading parts of a prompt that a server has cached. */
  CachedPrefix cachedPrefix(BackendServer server, String salt, Prompt p) {
    int tokens = 0;
    int whole = 0;
    for (Part part : p.parts()) {
      int held = directory.tokens(server.address(), new CacheContents.Key(salt, part.id()));
      tokens += Math.min(held, part.tokens());
      if (held <= part.tokens() - BLOCK_TOKENS) {
        break;
      }
      whole++;
    }
    return new CachedPrefix(tokens, whole);
  }

  /**
   * Nodes among which transfers are planned.
   *
   * @param soleEntry whether no other entry saves to the stores
   */
  record Nodes(List<BackendServer> engines, List<CacheStore> stores, boolean soleEntry) {}

  /** Returns the transfers of a prompt whose leading parts the server has cached. */
  CacheTransfers plan(BackendServer server, Nodes nodes, String salt, Prompt p, int heldParts) {
    // Read before the contents: a store that restarts in between must not extend the limit.
    Map<String, Long> limits = fetchLimits(nodes);
    List<String> sources = sources(server, nodes, limits.keySet(), salt, p, heldParts);
    long untilMs =
        sources.stream()
            .mapToLong(s -> limits.getOrDefault(s, CacheContents.UNKNOWN_CLOCK))
            .filter(l -> l != CacheContents.UNKNOWN_CLOCK)
            .min()
            .orElse(CacheContents.UNKNOWN_CLOCK);
    List<String> parts = p.parts().stream().map(Part::id).toList();
    return new CacheTransfers(parts, sources, targets(nodes.stores(), salt, p), untilMs);
  }

  /**
   * Returns the stores from which parts may be fetched, fastest first, with the end of a fetch on
   * the servers' clock. If a store states no time, a fetch can't be limited, so another entry could
   * save a part again while a request of this one waits to fetch it.
   */
  private Map<String, Long> fetchLimits(Nodes nodes) {
    Map<String, Long> limits = new LinkedHashMap<>();
    for (CacheStore s : nodes.stores()) {
      long untilMs = directory.fetchUntilMs(s.address());
      boolean limited = untilMs != CacheContents.UNKNOWN_CLOCK;
      if (directory.hasReadEvents(s.address()) && (limited || nodes.soleEntry())) {
        limits.put(s.address(), untilMs);
      }
    }
    return limits;
  }

  /**
   * Returns for each part the address of a node to fetch it from, empty for none. Engines fetch the
   * parts in order and stop at the first one without a source, so parts that the server has cached
   * get a source too, and no part after one that must be prefilled gets a source.
   */
  private List<String> sources(
      BackendServer server, Nodes nodes, Set<String> stores, String salt, Prompt p, int heldParts) {
    List<String> sources = new ArrayList<>(Collections.nCopies(p.parts().size(), ""));
    for (int i = 0; i < p.parts().size() - 1; i++) {
      Part part = p.parts().get(i);
      CacheContents.Key key = new CacheContents.Key(salt, part.id());
      Optional<String> source = source(server, nodes.engines(), stores, key, part.tokens());
      if (source.isEmpty() && i >= heldParts) {
        return sources;
      }
      sources.set(i, source.orElse(""));
    }
    return sources;
  }

  /**
   * Returns the number of leading parts, not counting the last one, that an engine or a store has
   * cached.
   */
  int countFetchableParts(Nodes nodes, String salt, Prompt p) {
    Set<String> stores = fetchLimits(nodes).keySet();
    int parts = 0;
    while (parts < p.parts().size() - 1) {
      Part part = p.parts().get(parts);
      CacheContents.Key key = new CacheContents.Key(salt, part.id());
      if (source(null, nodes.engines(), stores, key, part.tokens()).isEmpty()) {
        break;
      }
      parts++;
    }
    return parts;
  }

  /** Returns for each part the address of the store to save it to, empty for none. */
  private List<String> targets(List<CacheStore> stores, String salt, Prompt p) {
    List<String> targets = new ArrayList<>(Collections.nCopies(p.parts().size(), ""));
    for (int i = 0; i < p.parts().size() - 1; i++) {
      Part part = p.parts().get(i);
      CacheContents.Key key = new CacheContents.Key(salt, part.id());
      Optional<CacheStore> home = homeStore(stores, part.id());
      if (home.isPresent()
          && directory.tokens(home.get().address(), key) == 0
          && directory.maySave(home.get(), part.tokens())
          && !pending.isFetchPending(home.get().address(), key)
          && !pending.isSavePending(home.get().address(), key)
          && startedSaves.asMap().putIfAbsent(key, Boolean.TRUE) == null) {
        targets.set(i, home.get().address());
      }
    }
    return targets;
  }

  private Optional<String> source(
      @Nullable BackendServer server,
      List<BackendServer> engines,
      Set<String> stores,
      CacheContents.Key key,
      int tokens) {
    List<BackendServer> holders = new ArrayList<>();
    for (BackendServer e : engines) {
      boolean other = server == null || !e.incarnation().equals(server.incarnation());
      if (other && directory.tokens(e.address(), key) >= tokens - BLOCK_TOKENS + 1) {
        holders.add(e);
      }
    }
    if (!holders.isEmpty()) {
      return Optional.of(selectHolder(server, holders, key).address());
    }
    // A request that saves the part may begin after the store has restarted.
    return stores.stream()
        .filter(a -> directory.tokens(a, key) >= tokens && !pending.isSavePending(a, key))
        .findFirst();
  }

  /**
   * Selects one of several engines that have a part cached, preferring the failure domain of the
   * fetching engine. A rendezvous hash distributes the fetching engines over the sources, because
   * an engine serves its transfers one at a time and must not serve a popular part to all others.
   */
  private static BackendServer selectHolder(
      @Nullable BackendServer server, List<BackendServer> holders, CacheContents.Key key) {
    if (server == null) {
      return holders.get(0);
    }
    List<BackendServer> near =
        holders.stream().filter(h -> h.failureDomain().equals(server.failureDomain())).toList();
    byte[] hash = (key.part() + "@" + server.id()).getBytes(StandardCharsets.UTF_8);
    return Rendezvous.top(hash, near.isEmpty() ? holders : near, BackendServer::id, 1).get(0);
  }

  /**
   * Selects the store of a part by weighted rendezvous hash; a store's share of the parts is
   * proportional to its capacity.
   */
  private static Optional<CacheStore> homeStore(List<CacheStore> stores, String part) {
    CacheStore best = null;
    double bestScore = 0;
    for (CacheStore s : stores) {
      long h = Rendezvous.weight(part.getBytes(StandardCharsets.UTF_8), s.name());
      double unit = ((h >>> 11) + 1) * 0x1.0p-53;
      double score = s.cacheTokens() / -Math.log(unit);
      if (best == null || score > bestScore) {
        best = s;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }
}
