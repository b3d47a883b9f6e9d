package org.cowslipyoke.blocks;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipyoke.blocks.BlockReader.Block;
import org.cowslipyoke.fake.FaultyStoreVm;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.platform.StoreVm.BlockData;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.junit.jupiter.api.Test;

/** I1: guards against using a block that was freed, rewritten or only partly written. */
class SealedTransferTest {

  private static final Vm A = store("a", "golega");
  private static final Vm B = store("b", "coruche");
  private static final byte[] BYTES = "contents of one block".getBytes(StandardCharsets.UTF_8);
  private static final BlockKey KEY = new BlockKey("0123456789abcdef0123456789abcdef");

  private final ManualClock clock = new ManualClock();
  private final Map<Vm, FaultyStoreVm> stores =
      Map.of(A, new FaultyStoreVm(), B, new FaultyStoreVm());
  private final Links links = new Links(stores);
  private final BlockPlacement placement = new BlockPlacement(List.of(A, B), 2);
  private final BlockReader reader = new BlockReader(links, clock);
  private final BlockWriter writer = new BlockWriter(links, clock);

  @Test
  void readsWhatWasWritten() {
    write(A);
    write(B);
    assertArrayEquals(BYTES, read().orElseThrow().bytes());
  }

  @Test
  void blockFreedAfterTheLookupIsNotUsed() {
    write(A);
    write(B);
    stores.values().forEach(s -> s.beforeRead(() -> s.evict(KEY)));
    assertTrue(read().isEmpty());
    assertTrue(links.failed.isEmpty(), "a freed block is no failure of the link");
  }

  @Test
  void otherGenerationIsNotUsed() {
    write(A);
    onlyCopy(A).transformReads(d -> new BlockData(d.generation() + 1, d.bytes()));
    assertTrue(read().isEmpty());
  }

  @Test
  void shorterOrChangedBytesAreNotUsed() {
    write(A);
    onlyCopy(A).transformReads(d -> new BlockData(d.generation(), new byte[3]));
    assertTrue(read().isEmpty());
    onlyCopy(A).transformReads(d -> new BlockData(d.generation(), new byte[d.bytes().length]));
    assertTrue(read().isEmpty());
  }

  @Test
  void partlyWrittenBlockIsNeverSealed() {
    onlyCopy(A).failWrites(true);
    assertEquals(BlockWriter.Result.FAILED, writer.write(KEY, BYTES, A));
    assertTrue(read().isEmpty());
    assertFalse(writer.isPresent(KEY, A));
    assertEquals(Set.of(A), links.failed);
  }

  @Test
  void readsTheOtherCopyWhenOneFails() {
    write(A);
    write(B);
    Vm first = placement.readers(KEY).get(0);
    Vm second = placement.readers(KEY).get(1);
    onlyCopy(first).transformReads(d -> new BlockData(d.generation(), new byte[1]));
    assertEquals(second, read().orElseThrow().vm());
    onlyCopy(first).setOutage(true);
    assertEquals(second, read().orElseThrow().vm());
  }

  @Test
  void fullStoreLeavesItsLinkOpen() {
    onlyCopy(A).setFull(true);
    assertEquals(BlockWriter.Result.REFUSED, writer.write(KEY, BYTES, A));
    assertTrue(links.failed.isEmpty());
  }

  @Test
  void closedLinkIsNotUsed() {
    write(A);
    write(B);
    links.closed.add(A);
    assertEquals(B, read().orElseThrow().vm());
    assertEquals(BlockWriter.Result.REFUSED, writer.write(KEY, BYTES, A));
  }

  private FaultyStoreVm onlyCopy(Vm vm) {
    return Optional.ofNullable(stores.get(vm)).orElseThrow();
  }

  private void write(Vm vm) {
    assertEquals(BlockWriter.Result.WRITTEN, writer.write(KEY, BYTES, vm));
  }

  private Optional<Block> read() {
    var copies = reader.find(List.of(KEY), placement);
    return reader.read(KEY, copies.getOrDefault(KEY, List.of()));
  }

  static Vm store(String name, String domain) {
    return new Vm(name, "127.0.0.1", 1, Role.STORE, domain, "memoria", State.LIVE);
  }

  /** Links without a budget. */
  private static final class Links implements StoreLinks {
    private final Map<Vm, FaultyStoreVm> stores;
    private final Set<Vm> closed = new HashSet<>();
    private final Set<Vm> failed = new HashSet<>();

    Links(Map<Vm, FaultyStoreVm> stores) {
      this.stores = stores;
    }

    @Override
    public StoreVm client(Vm vm) {
      return Optional.ofNullable(stores.get(vm)).orElseThrow();
    }

    @Override
    public boolean isOpen(Vm vm) {
      return !closed.contains(vm);
    }

    @Override
    public double rate(Vm vm) {
      return 1_000;
    }

    @Override
    public boolean acquire(Vm vm, long bytes) {
      return true;
    }

    @Override
    public void succeeded(Vm vm, long bytes, long tookMs) {}

    @Override
    public void onResponse(Vm vm) {}

    @Override
    public void failed(Vm vm) {
      failed.add(vm);
    }
  }
}
