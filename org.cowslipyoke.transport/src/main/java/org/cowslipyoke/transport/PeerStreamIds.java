package org.cowslipyoke.transport;

import java.util.TreeSet;

/**
 * Distinguishes a first frame on a stream of the peer from a late one on a closed stream. Streams
 * may be used in another order than they were opened in, so skipped ids are remembered.
 */
final class PeerStreamIds {

  private static final int MAX_SKIPPED = 4096;

  private final TreeSet<Long> skipped = new TreeSet<>();
  private long highest;

  /**
   * Creates the state of one connection.
   *
   * @param first lowest id that the peer may use, 1 or 2; further ids follow in steps of 2
   */
  PeerStreamIds(int first) {
    highest = first - 2L;
  }

  /** Returns whether the id is the peer's and was not seen before; marks it as seen. */
  boolean markSeen(long id) {
    if (id <= 0 || Math.floorMod(id - highest, 2L) != 0) {
      return false;
    }
    if (id <= highest) {
      return skipped.remove(id);
    }
    for (long i = Math.max(highest + 2, id - 2L * MAX_SKIPPED); i < id; i += 2) {
      skipped.add(i);
    }
    while (skipped.size() > MAX_SKIPPED) {
      skipped.pollFirst();
    }
    highest = id;
    return true;
  }
}
