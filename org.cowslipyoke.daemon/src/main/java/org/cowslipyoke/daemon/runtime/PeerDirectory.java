package org.cowslipyoke.daemon.runtime;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Rendezvous;

/** Peers of this process out of the VM list; keeps the last list while the service is away. */
final class PeerDirectory {

  /** Entries that notify a server. */
  static final int ENTRIES_PER_SERVER = 2;

  /** Shortest time between reads of the list in milliseconds. */
  private static final long MIN_AGE_MS = 5_000;

  /** A VM takes about 100 bytes of the list, so this keeps its reads near 1 KB/s. */
  private static final long AGE_PER_VM_MS = 100;

  private final String self;
  private final VmList vms;
  private final Clock clock;
  private final Random random;
  private List<Vm> all = List.of();
  private List<Vm> assigned = List.of();
  private long nextReadMs = Long.MIN_VALUE;

  PeerDirectory(String self, VmList vms, Clock clock, Random random) {
    this.self = self;
    this.vms = vms;
    this.clock = clock;
    this.random = random;
  }

  /** Reads the list if the copy is too old; blocks. */
  void refresh() {
    synchronized (this) {
      if (clock.nowMs() < nextReadMs) {
        return;
      }
      nextReadMs = clock.nowMs() + MIN_AGE_MS;
    }
    vms.list().forEach(this::replace);
  }

  private synchronized void replace(List<Vm> next) {
    double jitter = 0.8 + 0.4 * random.nextDouble();
    long age = Math.max(MIN_AGE_MS, next.size() * AGE_PER_VM_MS);
    nextReadMs = clock.nowMs() + (long) (age * jitter);
    if (!next.equals(all)) {
      all = List.copyOf(next);
      assigned = assignment();
    }
  }

  /** Returns the entries other than this process. */
  synchronized List<Vm> entries() {
    return all.stream().filter(v -> v.role() == Role.ENTRY && !v.vm().equals(self)).toList();
  }

  /** Returns the number of live entries including this process if it is one. */
  synchronized int liveEntries() {
    return (int)
        all.stream().filter(v -> v.role() == Role.ENTRY && v.state() == State.LIVE).count();
  }

  /** Returns the servers that this entry notifies. */
  synchronized List<Vm> assignedServers() {
    return assigned;
  }

  /** Returns up to {@code count} random entries. */
  synchronized List<Vm> randomEntries(int count) {
    return pick(entries(), count);
  }

  /** Returns the entries that notify this server, followed by random ones, up to the count. */
  synchronized List<Vm> entriesFor(int count) {
    List<Vm> peers = new ArrayList<>(top(self, entries()));
    pick(entries(), count).stream().filter(e -> !peers.contains(e)).forEach(peers::add);
    return peers.subList(0, Math.min(count, peers.size()));
  }

  /** Returns random peers that may hold documents: entries, and servers for the rest. */
  synchronized List<Vm> sample(int entryCount, int serverCount) {
    List<Vm> peers = new ArrayList<>(randomEntries(entryCount));
    List<Vm> servers =
        all.stream().filter(v -> v.role() == Role.SERVER && !v.vm().equals(self)).toList();
    peers.addAll(pick(servers, serverCount));
    return peers;
  }

  private List<Vm> assignment() {
    List<Vm> entries = all.stream().filter(v -> v.role() == Role.ENTRY).toList();
    return all.stream()
        .filter(v -> v.role() == Role.SERVER)
        .filter(s -> top(s.vm(), entries).stream().anyMatch(e -> e.vm().equals(self)))
        .toList();
  }

  private static List<Vm> top(String server, List<Vm> entries) {
    byte[] key = server.getBytes(StandardCharsets.UTF_8);
    return Rendezvous.top(key, entries, Vm::vm, ENTRIES_PER_SERVER);
  }

  private List<Vm> pick(List<Vm> from, int count) {
    List<Vm> shuffled = new ArrayList<>(from);
    Collections.shuffle(shuffled, random);
    return List.copyOf(shuffled.subList(0, Math.min(count, shuffled.size())));
  }
}
