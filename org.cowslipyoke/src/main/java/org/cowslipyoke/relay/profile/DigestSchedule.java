package org.cowslipyoke.relay.profile;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.util.Rendezvous;

/**
 * Decides when an entry sends a digest: regularly, earlier when a server has become slow, and soon
 * after an entry has started, whose first digest asks for those of others. Not thread-safe.
 */
final class DigestSchedule {

  /** Regular interval in milliseconds; the bytes between failure domains are paid for. */
  static final long INTERVAL_MS = 2_000;

  /** Least interval in milliseconds. */
  static final long MIN_INTERVAL_MS = 1_000;

  /** Interval in milliseconds while no other entry has answered yet. */
  static final long START_INTERVAL_MS = 250;

  /** Digests at the start interval; an entry alone goes on with the regular one. */
  private static final int MAX_START_DIGESTS = 20;

  /** Number of entries that answer an entry that has started; more than one in case of losses. */
  private static final int ANSWERS = 3;

  private final String vm;
  private long sentMs;
  private int sent;
  private boolean alone = true;
  private boolean answerDue;

  DigestSchedule(String vm, long nowMs) {
    this.vm = vm;
    this.sentMs = nowMs;
  }

  /**
   * Records a digest of another entry.
   *
   * @param started whether it is the first one of that entry
   * @param others names of all entries with digests
   */
  void recordReceived(String from, boolean started, List<String> others) {
    alone = false;
    if (started) {
      List<String> all = new ArrayList<>(others);
      all.remove(from);
      all.add(vm);
      byte[] name = from.getBytes(StandardCharsets.UTF_8);
      answerDue |= Rendezvous.top(name, all, x -> x, ANSWERS).contains(vm);
    }
  }

  /**
   * Returns whether a digest is due and records that it is sent.
   *
   * @param urgent whether a server has become slow since the last one
   */
  boolean takeDue(long nowMs, boolean urgent) {
    long intervalMs = INTERVAL_MS;
    if (alone && sent < MAX_START_DIGESTS) {
      intervalMs = START_INTERVAL_MS;
    } else if (answerDue) {
      intervalMs = START_INTERVAL_MS;
    } else if (urgent) {
      intervalMs = MIN_INTERVAL_MS;
    }
    if (nowMs - sentMs < intervalMs) {
      return false;
    }
    sentMs = nowMs;
    sent++;
    answerDue = false;
    return true;
  }
}
