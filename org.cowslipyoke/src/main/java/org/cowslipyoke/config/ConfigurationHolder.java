package org.cowslipyoke.config;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** Holds the configuration in force. Readers take a snapshot; writers replace it atomically. */
public final class ConfigurationHolder {

  private final AtomicReference<@Nullable Configuration> current = new AtomicReference<>();

  /** Returns the configuration in force; empty before the first one arrived. */
  public Optional<Configuration> current() {
    return Optional.ofNullable(current.get());
  }

  /** Returns the head version in force, 0 if there is none. */
  public long headVersion() {
    Configuration c = current.get();
    return c == null ? 0 : c.headVersion();
  }

  /**
   * Puts a configuration in force if it is newer. A document with a higher head version that takes
   * any section back to a lower version is refused, so an accepted change never reverts.
   *
   * @return whether the configuration is now in force because of this call
   */
  public boolean offer(Configuration next) {
    while (true) {
      Configuration c = current.get();
      if (c != null && !isSuccessor(c, next)) {
        return false;
      }
      if (current.compareAndSet(c, next)) {
        return true;
      }
    }
  }

  private static boolean isSuccessor(Configuration c, Configuration next) {
    if (next.headVersion() <= c.headVersion()) {
      return false;
    }
    return c.sectionVersions().entrySet().stream()
        .allMatch(e -> next.sectionVersions().getOrDefault(e.getKey(), 0L) >= e.getValue());
  }
}
