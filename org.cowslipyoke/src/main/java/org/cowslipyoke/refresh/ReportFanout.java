package org.cowslipyoke.refresh;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cowslipyoke.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Decides where the reports of an entry are sent. A report crosses to another failure domain once,
 * to an entry that passes it on to the others there, because traffic between failure domains costs
 * money. That entry is ranked by a rendezvous hash over the name of the sender, so that the senders
 * spread over the entries of a domain. Until it has confirmed a report, and after it has failed to,
 * reports go to each entry of its domain. Thread-safe.
 */
public final class ReportFanout {

  /**
   * Time within which a report must be confirmed, in milliseconds; above the delay of a busy entry,
   * and with {@link #expire} called each 50 ms below the interval of complete reports.
   */
  public static final long CONFIRM_TIMEOUT_MS = 200;

  /** Fewest entries of another failure domain for which relaying saves anything. */
  private static final int MIN_MEMBERS = 2;

  /**
   * Another live entry.
   *
   * @param failureDomain its failure domain, empty if it did not state it
   */
  public record Peer(String vm, String failureDomain, InetSocketAddress address) {}

  /**
   * A datagram to an entry that passes it on.
   *
   * @param token number that its confirmation must repeat, 0 if none is asked for
   */
  public record Relayed(InetSocketAddress address, int token) {}

  /**
   * Destinations of one report.
   *
   * @param direct entries that get the report itself
   * @param relayed entries that pass it on
   */
  public record Plan(List<InetSocketAddress> direct, List<Relayed> relayed) {}

  /** Entries of another failure domain, and the state of the one that relays. */
  private static final class Domain {
    private final List<Peer> ranked;
    private int rank;
    private boolean confirmed;
    private int pendingToken;
    private long askedMs;

    Domain(List<Peer> ranked) {
      this.ranked = ranked;
    }

    Peer relay() {
      return ranked.get(rank);
    }
  }

  private final String vm;
  private List<InetSocketAddress> own = List.of();
  private List<InetSocketAddress> unrelayed = List.of();
  private Set<InetSocketAddress> ownSet = Set.of();
  private Map<String, Domain> domains = Map.of();
  private int lastToken;

  /** Creates the fan-out of an entry without peers. */
  public ReportFanout(String vm) {
    this.vm = vm;
  }

  /** Replaces the other live entries. */
  public synchronized void setPeers(String ownDomain, List<Peer> peers) {
    Map<String, List<Peer>> byDomain = new TreeMap<>();
    peers.forEach(p -> byDomain.computeIfAbsent(p.failureDomain(), d -> new ArrayList<>()).add(p));
    own = addresses(byDomain.getOrDefault(ownDomain, List.of()));
    ownSet = new HashSet<>(own);
    byDomain.remove(ownDomain);
    List<InetSocketAddress> single = new ArrayList<>();
    Map<String, Domain> next = new HashMap<>();
    byDomain.forEach(
        (name, members) -> {
          if (name.isEmpty() || members.size() < MIN_MEMBERS) {
            single.addAll(addresses(members));
          } else {
            next.put(name, domain(members, domains.get(name)));
          }
        });
    unrelayed = List.copyOf(single);
    domains = next;
  }

  /** Ranks the entries of a domain; a relay that stays keeps its state. */
  private Domain domain(List<Peer> members, @Nullable Domain before) {
    List<Peer> ranked =
        Rendezvous.top(vm.getBytes(StandardCharsets.UTF_8), members, Peer::vm, members.size());
    Domain d = new Domain(ranked);
    int kept = before == null ? -1 : ranked.indexOf(before.relay());
    if (before != null && kept >= 0) {
      d.rank = kept;
      d.confirmed = before.confirmed;
      d.pendingToken = before.pendingToken;
      d.askedMs = before.askedMs;
    }
    return d;
  }

  private static List<InetSocketAddress> addresses(List<Peer> peers) {
    return peers.stream().map(Peer::address).toList();
  }

  /**
   * Returns the other entries of the own failure domain, to which relayed reports are passed on.
   */
  public synchronized List<InetSocketAddress> ownDomain() {
    return own;
  }

  /** Returns whether an entry is in the own failure domain. */
  public synchronized boolean isOwnDomain(InetSocketAddress address) {
    return ownSet.contains(address);
  }

  /**
   * Returns the destinations of a report.
   *
   * @param mayRepeat whether receivers ignore a report that they get twice; only such a report asks
   *     for a confirmation
   */
  public synchronized Plan plan(long nowMs, boolean mayRepeat) {
    List<InetSocketAddress> direct = new ArrayList<>(own);
    direct.addAll(unrelayed);
    List<Relayed> relayed = new ArrayList<>();
    for (Domain d : domains.values()) {
      int token = mayRepeat && d.pendingToken == 0 ? ask(d, nowMs) : 0;
      if (d.confirmed || token != 0) {
        relayed.add(new Relayed(d.relay().address(), token));
      }
      if (!d.confirmed) {
        direct.addAll(addresses(d.ranked));
      }
    }
    return new Plan(direct, relayed);
  }

  private int ask(Domain d, long nowMs) {
    lastToken = lastToken == Integer.MAX_VALUE ? 1 : lastToken + 1;
    d.pendingToken = lastToken;
    d.askedMs = nowMs;
    return lastToken;
  }

  /** Records the confirmation of a report; an unknown token is ignored. */
  public synchronized void confirm(int token) {
    for (Domain d : domains.values()) {
      if (d.pendingToken == token && token != 0) {
        d.pendingToken = 0;
        d.confirmed = true;
      }
    }
  }

  /**
   * Gives up relays that did not confirm in time; the next in rank is asked with the next report.
   *
   * @return whether reports may have been lost, so that a complete one is due
   */
  public synchronized boolean expire(long nowMs) {
    boolean lost = false;
    for (Domain d : domains.values()) {
      if (d.pendingToken != 0 && nowMs - d.askedMs > CONFIRM_TIMEOUT_MS) {
        lost |= d.confirmed;
        d.confirmed = false;
        d.pendingToken = 0;
        d.rank = (d.rank + 1) % d.ranked.size();
      }
    }
    return lost;
  }
}
