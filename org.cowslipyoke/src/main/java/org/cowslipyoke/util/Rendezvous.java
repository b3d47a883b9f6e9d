package org.cowslipyoke.util;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous (highest random weight) hashing.
 *
 * <p>Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
 * Transactions on Networking 6(1), 1998.
 */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Returns up to {@code count} nodes with the highest weight for the key, highest first.
   *
   * @param key key to place
   * @param nodes candidate nodes
   * @param id function that returns the unique name of a node
   * @param count maximum number of nodes returned
   */
  public static <N> List<N> top(
      byte[] key, Collection<N> nodes, Function<N, String> id, int count) {
    record Ranked<N>(N node, String id, long weight) {}

    List<Ranked<N>> ranked = new ArrayList<>(nodes.size());
    for (N n : nodes) {
      String name = id.apply(n);
      ranked.add(new Ranked<>(n, name, weight(key, name)));
    }
    Comparator<Ranked<N>> order =
        (a, b) -> {
          int c = Long.compareUnsigned(b.weight(), a.weight());
          return c != 0 ? c : a.id().compareTo(b.id());
        };
    ranked.sort(order);
    return ranked.stream().limit(count).map(Ranked::node).toList();
  }

  /** Returns the weight of a node for a key, uniform over all 64-bit values. */
  public static long weight(byte[] key, String id) {
    return mix(fnv(fnv(0xcbf29ce484222325L, key), id.getBytes(StandardCharsets.UTF_8)));
  }

  /** FNV-1a with 64 bits. */
  private static long fnv(long seed, byte[] bytes) {
    long h = seed;
    for (byte b : bytes) {
      h ^= b & 0xff;
      h *= 0x100000001b3L;
    }
    return h;
  }

  /** Finalizer of SplitMix64; FNV alone leaves the high bits of similar names correlated. */
  private static long mix(long h) {
    long z = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
