package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Stores generations of blocks in a memory and a disk tier, each with LRU replacement. */
final class BlockTable {

  /** One generation of a block. */
  record Entry(
      String key, long generation, int length, byte[] data, long checksum, boolean onDisk) {}

  private static final long NOT_SEALED = -1;

  /** Maximum number of open generations that were never sealed, as in the LRU of a real store. */
  private static final int MAX_OPEN_GENERATIONS = 4_096;

  private final long memoryBytes;
  private final long diskBytes;
  private final Map<String, Entry> open = new LinkedHashMap<>();
  private final Map<String, Entry> memory = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Entry> disk = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Long> latest = new HashMap<>();
  private long memoryUsed;
  private long diskUsed;
  private long evicted;

  /** Next generation; starts above those of earlier processes, as none may be used again. */
  private long nextGeneration = System.currentTimeMillis() * 1_000;

  BlockTable(long memoryBytes, long diskBytes) {
    this.memoryBytes = memoryBytes;
    this.diskBytes = diskBytes;
  }

  boolean fits(int length) {
    return length <= memoryBytes;
  }

  synchronized long open(String key, int length) {
    long g = nextGeneration++;
    open.put(id(key, g), new Entry(key, g, length, new byte[0], NOT_SEALED, false));
    if (open.size() > MAX_OPEN_GENERATIONS) {
      Iterator<String> eldest = open.keySet().iterator();
      eldest.next();
      eldest.remove();
    }
    return g;
  }

  synchronized boolean write(String key, long generation, byte[] data) {
    Entry e = open.get(id(key, generation));
    if (e == null || data.length != e.length()) {
      return false;
    }
    open.put(id(key, generation), new Entry(key, generation, e.length(), data, NOT_SEALED, false));
    return true;
  }

  synchronized boolean seal(String key, long generation, int length, long checksum) {
    Entry e = open.get(id(key, generation));
    if (e == null || e.data().length != length) {
      return memory.containsKey(id(key, generation));
    }
    open.remove(id(key, generation));
    Long previous = latest.put(key, generation);
    if (previous != null) {
      removeFromTiers(key, previous);
    }
    memory.put(id(key, generation), new Entry(key, generation, length, e.data(), checksum, false));
    memoryUsed += length;
    evictOverflow();
    return true;
  }

  /** Returns the latest sealed generation of a key, null if there is none. */
  synchronized @Nullable Entry sealed(String key) {
    Long g = latest.get(key);
    return g == null ? null : find(key, g);
  }

  /** Returns a sealed generation, null if it is not stored. */
  synchronized @Nullable Entry find(String key, long generation) {
    Entry e = memory.get(id(key, generation));
    return e == null ? disk.get(id(key, generation)) : e;
  }

  synchronized void remove(String key, long generation) {
    removeFromTiers(key, generation);
    latest.remove(key, generation);
  }

  private void removeFromTiers(String key, long generation) {
    Entry m = memory.remove(id(key, generation));
    Entry d = disk.remove(id(key, generation));
    memoryUsed -= m == null ? 0 : m.length();
    diskUsed -= d == null ? 0 : d.length();
  }

  private void evictOverflow() {
    while (memoryUsed > memoryBytes) {
      Entry e = takeEldest(memory);
      memoryUsed -= e.length();
      diskUsed += e.length();
      disk.put(
          id(e.key(), e.generation()),
          new Entry(e.key(), e.generation(), e.length(), e.data(), e.checksum(), true));
    }
    while (diskUsed > diskBytes) {
      Entry e = takeEldest(disk);
      diskUsed -= e.length();
      latest.remove(e.key(), e.generation());
      evicted++;
    }
  }

  private static Entry takeEldest(Map<String, Entry> tier) {
    Iterator<Entry> i = tier.values().iterator();
    Entry e = i.next();
    i.remove();
    return e;
  }

  private static String id(String key, long generation) {
    return key + "/" + generation;
  }

  synchronized void stats(ObjectNode out) {
    out.put("memoryBlocks", memory.size()).put("memoryUsedBytes", memoryUsed);
    out.put("diskBlocks", disk.size()).put("diskUsedBytes", diskUsed).put("evicted", evicted);
  }
}
