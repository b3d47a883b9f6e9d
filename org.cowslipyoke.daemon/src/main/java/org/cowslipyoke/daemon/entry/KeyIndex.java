package org.cowslipyoke.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.util.Digests;
import org.jspecify.annotations.Nullable;

/**
 * Organisations by the hash of their bearer keys. A search through the 11,000 organisations of the
 * target size for each request would take longer than the rest of the admission.
 */
final class KeyIndex {

  private record Index(long version, Map<String, Organisation> byHash) {}

  private final AtomicReference<@Nullable Index> current = new AtomicReference<>();

  /** Returns the owner of a bearer key in a configuration. */
  Optional<Organisation> find(Configuration c, String key) {
    Index i = current.get();
    if (i == null || i.version() != c.headVersion()) {
      Map<String, Organisation> byHash = new HashMap<>();
      c.organisations().values().forEach(o -> o.keyHashes().forEach(h -> byHash.put(h, o)));
      i = new Index(c.headVersion(), byHash);
      current.set(i);
    }
    return Optional.ofNullable(i.byHash().get(Digests.sha256Hex(key)));
  }
}
