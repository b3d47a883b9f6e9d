package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Transfers of cached parts that requests of this entry make once their servers begin them. A
 * request can wait at its server for seconds, while the nodes that it was planned with restart.
 * Thread-safe.
 */
public final class PendingTransfers implements AttemptObserver {

  private record Transfer(String address, CacheContents.Key key) {}

  private final Map<Transfer, List<Attempt>> fetches = new ConcurrentHashMap<>();
  private final Map<Transfer, List<Attempt>> saves = new ConcurrentHashMap<>();

  /** Returns whether a request that may not have begun fetches a part without a limit in time. */
  boolean isFetchPending(String address, CacheContents.Key key) {
    return fetches.containsKey(new Transfer(address, key));
  }

  /** Returns whether a request that may not have begun saves a part to a store. */
  boolean isSavePending(String address, CacheContents.Key key) {
    return saves.containsKey(new Transfer(address, key));
  }

  @Override
  public void started(Attempt a) {
    forEach(a, (transfers, t) -> transfers.merge(t, List.of(a), PendingTransfers::concat));
  }

  /** The first content shows that the parts are fetched and that the saves have begun. */
  @Override
  public void contentReceived(Attempt a, long nowMs, boolean first) {
    if (first) {
      remove(a);
    }
  }

  /** Without a complete response the connection is closed, so the server drops the request. */
  @Override
  public void ended(Attempt a, Ended e) {
    remove(a);
  }

  private void remove(Attempt a) {
    forEach(a, (transfers, t) -> transfers.computeIfPresent(t, (k, all) -> without(all, a)));
  }

  private static List<Attempt> concat(List<Attempt> before, List<Attempt> added) {
    return Stream.concat(before.stream(), added.stream()).toList();
  }

  private static @Nullable List<Attempt> without(List<Attempt> attempts, Attempt a) {
    List<Attempt> left = attempts.stream().filter(x -> !x.equals(a)).toList();
    return left.isEmpty() ? null : left;
  }

  private void forEach(Attempt a, BiConsumer<Map<Transfer, List<Attempt>>, Transfer> action) {
    PromptPlan p = a.plan();
    if (p == null) {
      return;
    }
    if (p.transfers().fetchUntilMs() == CacheContents.UNKNOWN_CLOCK) {
      transfers(p, p.sources()).forEach(t -> action.accept(fetches, t));
    }
    transfers(p, p.targets()).forEach(t -> action.accept(saves, t));
  }

  private static List<Transfer> transfers(PromptPlan p, List<String> addresses) {
    List<Transfer> all = new ArrayList<>();
    for (int i = 0; i < addresses.size(); i++) {
      if (!addresses.get(i).isEmpty()) {
        String part = p.transfers().parts().get(i);
        all.add(new Transfer(addresses.get(i), new CacheContents.Key(p.salt(), part)));
      }
    }
    return all;
  }
}
