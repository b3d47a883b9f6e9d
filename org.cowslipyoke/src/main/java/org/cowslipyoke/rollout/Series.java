package org.cowslipyoke.rollout;

/**
 * Identifies what a {@link Tally} counts.
 *
 * @param server incarnation of a server of the target version, empty for all servers of old
 *     versions together
 */
public record Series(String route, String server) {

  /** Returns whether the answers are those of the target version. */
  boolean isTarget() {
    return !server.isEmpty();
  }
}
