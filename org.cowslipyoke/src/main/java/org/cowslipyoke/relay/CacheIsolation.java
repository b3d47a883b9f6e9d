package org.cowslipyoke.relay;

import java.util.HexFormat;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.cowslipyoke.util.Digests;
import org.jspecify.annotations.Nullable;

/**
 * Separates the KV cache of organisations by salts: engines and stores find a part only under the
 * salt with which it was made.
 *
 * <p>The salt of the organisations that share depends on which organisations don't. When one of
 * them stops sharing, the others no longer use the parts that it made before. All entries derive
 * the same salt from the same desired state, also after a restart.
 *
 * @param isolated names of the organisations whose KV cache is isolated
 * @param sharedSuffix end of the salt of all others, empty if there are no isolated organisations
 */
public record CacheIsolation(Set<String> isolated, String sharedSuffix) {

  /** All organisations share their KV cache. */
  public static final CacheIsolation NONE = new CacheIsolation(Set.of(), "");

  /** Bytes of the digest in the salt. */
  private static final int DIGEST_BYTES = 8;

  /** Returns the isolation of the organisations with the given names. */
  public static CacheIsolation of(Set<String> isolated) {
    if (isolated.isEmpty()) {
      return NONE;
    }
    byte[] digest = Digests.sha256(new TreeSet<>(isolated).toArray(new String[0]));
    String suffix = "+" + HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    return new CacheIsolation(Set.copyOf(isolated), suffix);
  }

  /**
   * Returns a salt under which no other request finds a part, for a prompt whose model and weights
   * are not known.
   */
  public static String unsharedSalt(@Nullable String organisation, RandomGenerator random) {
    String id = HexFormat.of().toHexDigits(random.nextLong());
    return "unshared." + id + (organisation == null ? "" : "." + organisation);
  }

  /**
   * Returns the salt of a prompt.
   *
   * @param weights weights version with which its KV cache is made
   * @param organisation owner of the prompt, null on an open route
   */
  public String salt(String model, int weights, @Nullable String organisation) {
    String base = model + ".v" + weights;
    return organisation != null && isolated.contains(organisation)
        ? base + "." + organisation
        : base + sharedSuffix;
  }
}
