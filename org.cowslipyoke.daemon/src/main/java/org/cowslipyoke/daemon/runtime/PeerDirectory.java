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

/**
 * Peers of this process in the VM list. While the VM list is unavailable, the last known one is
 * used.
 */
final class PeerDirectory {

  /** Number of entries that notify a server. */
  static final int ENTRIES_PER_SERVER = 2;

  /** Shortest interval between reads of the VM list, in milliseconds. */
  private static final long MIN_REFRESH_INTERVAL_MS = 5_000;

  /**
   * Interval between reads per VM in the list, in milliseconds. A VM takes about 100 bytes of the
   * list, so this limits the reads to about 1 KB/s.
   */
  private static final long REFRESH_INTERVAL_PER_VM_MS = 100;

  private final String self;
  private final VmList vms;
  private final Clock clock;
  private final Random random;
  private List<Vm> vmList = List.of();
  private List<Vm> assignedServers = List.of();
  private long nextReadMs = Long.MIN_VALUE;

  PeerDirectory(String self, VmList vms, Clock clock, Random random) {
    this.self = self;
    this.vms = vms;
    this.clock = clock;
    this.random = random;
  }

  /** Reads the VM list if the interval has passed; blocks. */
  void refresh() {
    synchronized (this) {
      if (clock.nowMs() < nextReadMs) {
        return;
      }
      nextReadMs = clock.nowMs() + MIN_REFRESH_INTERVAL_MS;
    }
    vms.list().forEach(this::replace);
  }

  private synchronized void replace(List<Vm> next) {
    double jitter = 0.8 + 0.4 * random.nextDouble();
    long intervalMs = Math.max(MIN_REFRESH_INTERVAL_MS, next.size() * REFRESH_INTERVAL_PER_VM_MS);
    nextReadMs = clock.nowMs() + (long) (intervalMs * jitter);
    if (!next.equals(vmList)) {
      vmList = List.copyOf(next);
      assignedServers = selectAssignedServers();
    }
  }

  /** Returns the entries other than this process. */
  synchronized List<Vm> entries() {
    return vmList.stream().filter(v -> v.role() == Role.ENTRY && !v.vm().equals(self)).toList();
  }

  /** Returns the number of live entries, including this process if it is one. */
  synchronized int liveEntries() {
    return (int)
        vmList.stream().filter(v -> v.role() == Role.ENTRY && v.state() == State.LIVE).count();
  }

  /** Returns the servers that this entry notifies. */
  synchronized List<Vm> assignedServers() {
    return assignedServers;
  }

  /** Returns up to {@code count} random entries other than this process. */
  synchronized List<Vm> randomEntries(int count) {
    return randomSubset(entries(), count);
  }

  /** Returns up to {@code count} entries: those that notify this server, then random ones. */
  synchronized List<Vm> notifyingEntries(int count) {
    List<Vm> peers = new ArrayList<>(entriesOfServer(self, entries()));
    randomSubset(entries(), count).stream().filter(e -> !peers.contains(e)).forEach(peers::add);
    return peers.subList(0, Math.min(count, peers.size()));
  }

  /**
   * Returns random peers to pull documents from, at most the given numbers of entries and servers.
   */
  synchronized List<Vm> sample(int entryCount, int serverCount) {
    List<Vm> peers = new ArrayList<>(randomEntries(entryCount));
    List<Vm> servers =
        vmList.stream().filter(v -> v.role() == Role.SERVER && !v.vm().equals(self)).toList();
    peers.addAll(randomSubset(servers, serverCount));
    return peers;
  }

  private List<Vm> selectAssignedServers() {
    List<Vm> entries = vmList.stream().filter(v -> v.role() == Role.ENTRY).toList();
    return vmList.stream()
        .filter(v -> v.role() == Role.SERVER)
        .filter(s -> entriesOfServer(s.vm(), entries).stream().anyMatch(e -> e.vm().equals(self)))
        .toList();
  }

  private static List<Vm> entriesOfServer(String server, List<Vm> entries) {
    byte[] key = server.getBytes(StandardCharsets.UTF_8);
    return Rendezvous.top(key, entries, Vm::vm, ENTRIES_PER_SERVER);
  }

  private List<Vm> randomSubset(List<Vm> from, int count) {
    List<Vm> shuffled = new ArrayList<>(from);
    Collections.shuffle(shuffled, random);
    return List.copyOf(shuffled.subList(0, Math.min(count, shuffled.size())));
  }
}
