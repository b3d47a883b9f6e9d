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
 * Index of organisations by the hash of their bearer keys. With 11,000 organisations, a linear
 * search per request would take longer than the rest of admission.
 */
final class BearerKeyIndex {

  private record Index(long version, Map<String, Organisation> byHash) {}

  private final AtomicReference<@Nullable Index> current = new AtomicReference<>();

  /** Returns the organisation that a bearer key belongs to. */
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
