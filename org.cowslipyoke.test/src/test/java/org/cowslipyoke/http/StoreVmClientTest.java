package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.blocks.BlockSeal;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.platform.StoreVm.Tier;
import org.cowslipyoke.standin.StandIn;
import org.cowslipyoke.standin.StandInKind;
import org.junit.jupiter.api.Test;

class StoreVmClientTest extends HttpFixture {

  private static final BlockKey KEY = new BlockKey("00112233445566778899aabbccddeeff");
  private static final BlockKey OTHER = new BlockKey("ffeeddccbbaa99887766554433221100");

  private final StandIn standIn =
      start(StandInKind.STORE, "{\"memoryBytes\": 20000, \"diskBytes\": 20000}");
  private final HttpStoreVm store = new HttpStoreVm(connector, standIn.baseUri(), TIMEOUT_MS);

  private static byte[] block(int seed) {
    byte[] b = new byte[16 << 10];
    new Random(seed).nextBytes(b);
    return b;
  }

  private BlockSeal write(BlockKey key, byte[] bytes) {
    long g = store.open(key, bytes.length).get();
    assertTrue(store.write(key, g, bytes).get());
    BlockSeal seal = BlockSeal.of(g, bytes);
    assertTrue(store.seal(key, seal).get());
    return seal;
  }

  /** Guards against I1: data of a generation that is not sealed, or was retired, is readable. */
  @Test
  void onlyTheSealedGenerationIsReadable() {
    long g = store.open(KEY, 16 << 10).get();
    store.write(KEY, g, block(1)).get();
    assertTrue(store.lookup(List.of(KEY)).get().isEmpty());
    assertTrue(store.read(KEY, g).get().isEmpty());
    BlockSeal first = write(KEY, block(2));
    BlockSeal second = write(KEY, block(3));
    assertTrue(second.generation() > first.generation());
    assertTrue(store.read(KEY, first.generation()).get().isEmpty());
    var held = store.lookup(List.of(OTHER, KEY)).get();
    assertEquals(1, held.size());
    assertEquals(second, held.get(0).seal());
    var data = store.read(KEY, second.generation()).get().orElseThrow();
    assertArrayEquals(block(3), data.bytes());
    assertTrue(second.matches(data.generation(), data.bytes()));
  }

  /** Guards against a read that does not notice that the bytes were freed under it. */
  @Test
  void bytesFreedUnderTheReaderDoNotMatchTheSeal() {
    BlockSeal seal = write(KEY, block(1));
    standIn.setFaults("{\"freeUnderReader\": 1}");
    var data = store.read(KEY, seal.generation()).get().orElseThrow();
    assertFalse(seal.matches(data.generation(), data.bytes()));
    assertTrue(store.read(KEY, seal.generation()).get().isEmpty());
  }

  /** Guards against a full store that loses or mixes up blocks. */
  @Test
  void blocksMoveToDiskAndThenOut() {
    final BlockSeal seal = write(KEY, block(1));
    write(OTHER, block(2));
    assertEquals(Tier.DISK, store.lookup(List.of(KEY)).get().get(0).tier());
    assertTrue(store.read(KEY, seal.generation()).get().isPresent());
    write(new BlockKey("0".repeat(32)), block(3));
    assertTrue(store.lookup(List.of(KEY)).get().isEmpty());
    standIn.setFaults("{\"full\": true}");
    assertEquals(ErrorKind.OVERLOADED, store.open(KEY, 100).getLeft().kind());
  }

  /** Guards against a seal whose lost answer cannot be repeated. */
  @Test
  void sealWithLostAnswerCanBeRepeated() {
    long g = store.open(KEY, 16 << 10).get();
    store.write(KEY, g, block(1)).get();
    standIn.setFaults("{\"lostAnswers\": 1, \"path\": \"/v1/seal\"}");
    BlockSeal seal = BlockSeal.of(g, block(1));
    assertEquals(ErrorKind.INCOMPLETE, store.seal(KEY, seal).getLeft().kind());
    assertTrue(store.seal(KEY, seal).get());
  }

  /** Guards against a slow or dead store that holds its callers. */
  @Test
  void slowSilentAndDeadStoreEndAtTheDeadline() {
    BlockSeal seal = write(KEY, block(1));
    HttpStoreVm quick = new HttpStoreVm(connector, standIn.baseUri(), 200);
    standIn.setFaults("{\"bytesPerSecond\": 4096}");
    assertEquals(ErrorKind.INCOMPLETE, quick.read(KEY, seal.generation()).getLeft().kind());
    standIn.setFaults("{\"bytesPerSecond\": 0}");
    standIn.setFaults("{\"silent\": \"all\"}");
    assertEquals(ErrorKind.INCOMPLETE, quick.lookup(List.of(KEY)).getLeft().kind());
    standIn.setFaults("{\"silent\": \"none\"}");
    refuse(standIn);
    assertEquals(ErrorKind.NO_SERVER, quick.lookup(List.of(KEY)).getLeft().kind());
  }

  /** Guards against link use that is not attributed to its caller. */
  @Test
  void bytesAreCountedByLink() {
    BlockSeal seal = write(KEY, block(1));
    store.read(KEY, seal.generation()).get();
    var link = standIn.stats().path("links").path("test");
    assertEquals(16 << 10, link.path("writtenBytes").asInt());
    assertEquals(16 << 10, link.path("readBytes").asInt());
  }
}
