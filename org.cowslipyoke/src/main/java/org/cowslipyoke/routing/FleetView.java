package org.cowslipyoke.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;

/**
 * The live VMs as this entry knows them. Readers take a snapshot; each read of the VM list replaces
 * it. The list lags, so a server may still refuse.
 */
public final class FleetView {

  private record Snapshot(Map<String, List<Vm>> servers, Map<String, Vm> byName, int entries) {}

  private final AtomicReference<Snapshot> current =
      new AtomicReference<>(new Snapshot(Map.of(), Map.of(), 0));

  /** Takes a new reading of the VM list. */
  public void update(List<Vm> vms) {
    Map<String, List<Vm>> servers = new HashMap<>();
    Map<String, Vm> byName = new HashMap<>();
    int entries = 0;
    for (Vm v : vms) {
      byName.put(v.vm(), v);
      if (v.state() != State.LIVE) {
        continue;
      }
      if (v.role() == Role.SERVER) {
        servers.computeIfAbsent(v.group(), g -> new ArrayList<>()).add(v);
      } else if (v.role() == Role.ENTRY) {
        entries++;
      }
    }
    current.set(new Snapshot(servers, byName, entries));
  }

  /** Returns the live servers of a group outside of the failure domains that are taken out. */
  public List<Vm> servers(String group, Places places) {
    return snapshot().servers().getOrDefault(group, List.of()).stream()
        .filter(v -> places.acceptsNewWork(v.failureDomain()))
        .toList();
  }

  /** Returns a VM of any state. */
  public Optional<Vm> find(String vm) {
    return Optional.ofNullable(snapshot().byName().get(vm));
  }

  /** Returns the number of live entries, at least 1 (this one). */
  public int liveEntries() {
    return Math.max(1, snapshot().entries());
  }

  /** Returns whether the VM list has been read. */
  public boolean isKnown() {
    return !snapshot().byName().isEmpty();
  }

  private Snapshot snapshot() {
    return Objects.requireNonNull(current.get());
  }
}
