package org.cowslipyoke.blocks;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Rendezvous;

/**
 * Places blocks on store VMs by rendezvous hashing of the key. The copies of a block are in
 * different failure domains; if there are fewer failure domains than copies, fewer copies are
 * placed.
 */
public final class BlockPlacement {

  private final List<Vm> stores;
  private final int copies;

  /**
   * Creates a placement.
   *
   * @param stores store VMs, live and leaving
   * @param copies number of copies of each block
   */
  public BlockPlacement(List<Vm> stores, int copies) {
    this.stores = List.copyOf(stores);
    this.copies = Math.max(1, copies);
  }

  /** Returns the VMs from which to read the block, the preferred one first. */
  public List<Vm> readers(BlockKey key) {
    return place(key, stores);
  }

  /** Returns the VMs to which to write the block; a leaving VM gets no new block. */
  public List<Vm> writers(BlockKey key) {
    return place(key, stores.stream().filter(v -> v.state() == State.LIVE).toList());
  }

  /** Returns all store VMs. */
  public List<Vm> stores() {
    return stores;
  }

  private List<Vm> place(BlockKey key, List<Vm> candidates) {
    byte[] bytes = key.hex().getBytes(StandardCharsets.US_ASCII);
    Set<String> domains = new HashSet<>();
    List<Vm> placed = new ArrayList<>(copies);
    for (Vm v : Rendezvous.top(bytes, candidates, Vm::vm, candidates.size())) {
      if (placed.size() < copies && domains.add(v.failureDomain())) {
        placed.add(v);
      }
    }
    return placed;
  }
}
