package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.relay.Prompt.Part;
import org.cowslipyoke.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Decides where the parts of a prompt are fetched from and which store keeps them. Answers for
 * prompts that return after they have left the engines' memory: each shared part has one store by
 * weighted rendezvous hash, so a part takes room once.
 */
public final class KeptParts {

  /** Block in which engines keep tokens; a part may be held short of less than one block. */
  static final int BLOCK_TOKENS = 16;

  /** Time for which a part that is being saved is not saved again. */
  private static final Duration SAVING = Duration.ofSeconds(3);

  /** Saves remembered; above what all callers of an entry start in {@link #SAVING}. */
  private static final int MAX_SAVING = 4_096;

  private final CacheDirectory directory;
  private final Cache<CacheContents.Key, Boolean> saving =
      Caffeine.newBuilder()
          .maximumSize(MAX_SAVING)
          .expireAfterWrite(SAVING)
          .executor(Runnable::run)
          .build();

  /** Creates the decision. */
  public KeptParts(CacheDirectory directory) {
    this.directory = directory;
  }

  /**
   * What a server lacks of a prompt.
   *
   * @param heldTokens tokens of the leading parts that the server holds
   * @param heldParts number of leading parts that the server holds whole
   */
  record Held(int heldTokens, int heldParts) {}

  /** Returns the leading parts that a server holds. */
  Held heldAt(BackendServer server, String salt, Prompt p) {
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
    return new Held(tokens, whole);
  }

  /**
   * Returns for each part where it can be fetched from, empty for none. Parts that the server holds
   * are named too: engines fetch the parts of a prompt from the first on and stop at one without a
   * source. None is named after a part that has to be read.
   */
  List<String> sources(
      BackendServer server,
      List<BackendServer> engines,
      List<CacheStore> stores,
      String salt,
      Prompt p,
      int heldParts) {
    List<String> sources = new ArrayList<>(Collections.nCopies(p.parts().size(), ""));
    for (int i = 0; i < p.parts().size() - 1; i++) {
      Part part = p.parts().get(i);
      CacheContents.Key key = new CacheContents.Key(salt, part.id());
      Optional<String> source = source(server, engines, stores, key, part.tokens());
      if (source.isEmpty() && i >= heldParts) {
        return sources;
      }
      sources.set(i, source.orElse(""));
    }
    return sources;
  }

  /** Returns the number of leading parts that some engine or store holds, but for the last part. */
  int fetchable(List<BackendServer> engines, List<CacheStore> stores, String salt, Prompt p) {
    int parts = 0;
    while (parts < p.parts().size() - 1) {
      Part part = p.parts().get(parts);
      CacheContents.Key key = new CacheContents.Key(salt, part.id());
      if (source(null, engines, stores, key, part.tokens()).isEmpty()) {
        break;
      }
      parts++;
    }
    return parts;
  }

  /** Returns for each part the store to save it to, empty for none. */
  List<String> targets(List<CacheStore> stores, String salt, Prompt p) {
    List<String> targets = new ArrayList<>(Collections.nCopies(p.parts().size(), ""));
    for (int i = 0; i < p.parts().size() - 1; i++) {
      Part part = p.parts().get(i);
      CacheContents.Key key = new CacheContents.Key(salt, part.id());
      Optional<CacheStore> home = home(stores, part.id());
      if (home.isPresent()
          && directory.tokens(home.get().address(), key) == 0
          && directory.maySave(home.get(), part.tokens())
          && saving.asMap().putIfAbsent(key, Boolean.TRUE) == null) {
        targets.set(i, home.get().address());
      }
    }
    return targets;
  }

  private Optional<String> source(
      @Nullable BackendServer server,
      List<BackendServer> engines,
      List<CacheStore> stores,
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
      return Optional.of(spread(server, holders, key).address());
    }
    return stores.stream()
        .map(CacheStore::address)
        .filter(a -> directory.tokens(a, key) >= tokens)
        .findFirst();
  }

  /**
   * Chooses one of several engines that hold a part, one in the failure domain of the engine that
   * fetches if there is one. Each fetching engine gets another one by rendezvous hash: an engine
   * sends one transfer after the other, so a popular part must not come from the same one for all.
   */
  private static BackendServer spread(
      @Nullable BackendServer server, List<BackendServer> holders, CacheContents.Key key) {
    if (server == null) {
      return holders.get(0);
    }
    List<BackendServer> near =
        holders.stream().filter(h -> h.failureDomain().equals(server.failureDomain())).toList();
    byte[] hash = (key.part() + "@" + server.id()).getBytes(StandardCharsets.UTF_8);
    return Rendezvous.top(hash, near.isEmpty() ? holders : near, BackendServer::id, 1).get(0);
  }

  /** Weighted rendezvous hash: a store's share of the parts follows its capacity. */
  private static Optional<CacheStore> home(List<CacheStore> stores, String part) {
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
