package org.cowslipyoke.daemon.server;

import static org.cowslipyoke.daemon.server.ServerFixture.await;
import static org.cowslipyoke.daemon.server.ServerFixture.keys;
import static org.cowslipyoke.daemon.server.ServerFixture.probe;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.fake.FaultyStoreVm;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.platform.StoreVm.BlockData;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against lost reuse and against blocks that must not reach the engine. */
@Timeout(60)
class BlockTransferTest {

  private final ServerFixture fix = new ServerFixture();
  private final FaultyStoreVm storeA = fix.store("memoria-a", "golega");
  private final FaultyStoreVm storeB = fix.store("memoria-b", "coruche");

  @AfterEach
  void close() {
    fix.close();
  }

  @Test
  void offersAndImportsKeptBlocksBeforeTheRun() {
    keep(storeA, 0, 1);
    keep(storeB, 2);
    // A server offers no blocks if the stores have not answered within 30 ms.
    List<Offer> offers = new ArrayList<>();
    await(
        () -> {
          offers.add(new RecordingStream(fix.role).ask(probe("r")).next(Offer.class));
          return offers.get(offers.size() - 1).fetchableTokens() > 0;
        });
    Offer offer = offers.get(offers.size() - 1);
    assertEquals(3 * 1024, offer.fetchableTokens());
    assertEquals(3 * 100, offer.linkBytes());
    fix.run("r");
    assertEquals(Set.copyOf(keys("r")), Set.copyOf(fix.engine.imported()));
    assertEquals(keys("r"), fix.engine.generations().get(0).blockKeys());
  }

  @Test
  void i1_damagedBlockIsRecomputed() {
    keep(storeA, 0, 1, 2);
    BlockKey bad = keys("r").get(1);
    byte[] good = bytes(1);
    storeA.transformReads(
        d -> Arrays.equals(d.bytes(), good) ? new BlockData(d.generation(), bytes(9)) : d);
    fix.run("r");
    assertTrue(!fix.engine.imported().contains(bad), "imported " + fix.engine.imported());
  }

  @Test
  void runGoesOnWhenStoresAreDown() {
    storeA.setOutage(true);
    storeB.setOutage(true);
    fix.run("r");
    assertTrue(fix.engine.imported().isEmpty());
  }

  @Test
  void exportsBlocksInTheOrderOfTheirValueToBothCopies() {
    RecordingStream entry = fix.run("r");
    for (int i = 0; i < 3; i++) {
      fix.engine.putCachedBlock(keys("r").get(i), bytes(i));
    }
    fix.engine.finish(0);
    entry.next(Started.class);
    entry.next(End.class);
    BlockExporter exporter = fix.role.engineSide().orElseThrow().exporter();
    await(() -> exporter.waiting() == 3);
    exporter.exportFor(60_000);
    assertEquals(keys("r"), storeA.sealedKeys());
    assertEquals(keys("r"), storeB.sealedKeys());
    FaultyStoreVm reread = storeA;
    var held = reread.lookup(keys("r")).get().get(2);
    var data = reread.read(held.key(), held.seal().generation()).get().orElseThrow();
    assertArrayEquals(bytes(2), data.bytes());
  }

  private void keep(FaultyStoreVm store, int... positions) {
    List<BlockKey> keys = keys("r");
    for (int i : positions) {
      store.putSealed(keys.get(i), bytes(i));
    }
  }

  private static byte[] bytes(int fill) {
    byte[] b = new byte[100];
    Arrays.fill(b, (byte) (fill + 1));
    return b;
  }
}
