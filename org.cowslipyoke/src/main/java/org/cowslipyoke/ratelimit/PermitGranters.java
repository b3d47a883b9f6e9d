package org.cowslipyoke.ratelimit;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.util.Rendezvous;

/**
 * The live entries, as granters of permits: who grants those of a server, and who does not respond.
 * Not thread-safe.
 */
final class PermitGranters {

  /** Minimum interval of demands and statements, in milliseconds. */
  static final long MIN_INTERVAL_MS = 250;

  /**
   * Part of the interval per entry, in milliseconds, so that an entry that grants permits gets at
   * most 100 demands per second for a server.
   */
  static final long INTERVAL_PER_ENTRY_MS = 10;

  /** Minimum time without a response after which another entry is asked, in milliseconds. */
  static final long SILENT_MS = 1_000;

  /** Number of intervals for which a demand holds. */
  static final int DEMAND_INTERVALS = 3;

  /** Number of entries that may grant the permits of a server, the others in case of failure. */
  private static final int RANKED = 3;

  /** Maximum number of servers whose order is kept. */
  private static final int MAX_SERVERS = 8_192;

  /**
   * The entries to ask for the permits of a server.
   *
   * @param silent entries that don't respond, in order
   * @param granter the entry that grants, empty if none responds
   */
  record Choice(List<String> silent, String granter) {}

  private final String vm;
  private final Map<String, Long> unansweredSinceMs = new HashMap<>();
  private final Map<String, Long> probedMs = new HashMap<>();
  private final Cache<String, List<String>> ranked =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();
  private Set<String> members;

  /** Creates the granters of an entry without others. */
  PermitGranters(String vm) {
    this.vm = vm;
    this.members = Set.of(vm);
  }

  /** Replaces the other live entries. */
  void setOthers(List<String> others) {
    Set<String> all = new HashSet<>(others);
    all.add(vm);
    if (!all.equals(members)) {
      members = Set.copyOf(all);
      ranked.invalidateAll();
      unansweredSinceMs.keySet().retainAll(members);
      probedMs.keySet().retainAll(members);
    }
  }

  /** Returns the number of live entries. */
  int size() {
    return members.size();
  }

  /** Returns the interval of demands and statements, in milliseconds. */
  long intervalMs() {
    return Math.max(MIN_INTERVAL_MS, INTERVAL_PER_ENTRY_MS * members.size());
  }

  /** Returns the time for which a demand holds, in milliseconds. */
  long demandValidMs() {
    return DEMAND_INTERVALS * intervalMs();
  }

  /**
   * Chooses the granter of a server: the first in a rendezvous order that responds.
   *
   * @param isDemanded whether other entries want permits of the server from this one. If none does,
   *     the entries before it in the order are silent for this entry only, and it must not grant.
   */
  Choice choose(String incarnation, boolean isDemanded, long nowMs) {
    List<String> silent = new ArrayList<>();
    for (String m : ranked(incarnation)) {
      boolean own = m.equals(vm);
      if (own ? silent.isEmpty() || isDemanded : !isSilent(m, nowMs)) {
        return new Choice(silent, m);
      }
      if (!own) {
        silent.add(m);
      }
    }
    return new Choice(silent, "");
  }

  private List<String> ranked(String incarnation) {
    return ranked.get(
        incarnation,
        k -> Rendezvous.top(k.getBytes(StandardCharsets.UTF_8), members, m -> m, RANKED));
  }

  private boolean isSilent(String member, long nowMs) {
    Long since = unansweredSinceMs.get(member);
    return since != null && nowMs - since > Math.max(SILENT_MS, demandValidMs());
  }

  /** Returns whether a silent entry is due to be asked whether it responds; records that it is. */
  boolean takeProbe(String member, long nowMs) {
    if (nowMs - probedMs.getOrDefault(member, nowMs - SILENT_MS) < SILENT_MS) {
      return false;
    }
    probedMs.put(member, nowMs);
    return true;
  }

  /** Records that an entry is asked. */
  void recordAsked(String member, long nowMs) {
    unansweredSinceMs.putIfAbsent(member, nowMs);
  }

  /** Records a report of an entry. */
  void recordHeard(String member) {
    unansweredSinceMs.remove(member);
  }
}
