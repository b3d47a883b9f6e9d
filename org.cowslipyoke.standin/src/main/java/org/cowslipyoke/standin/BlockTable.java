package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Generations of blocks in two tiers, each with LRU replacement. */
final class BlockTable {

  /** One generation of a block. */
  record Entry(
      String key, long generation, int length, byte[] data, long checksum, boolean onDisk) {}

  private static final long NOT_SEALED = -1;

  /** Open generations that were never sealed; bounded like the LRU of a real store. */
  private static final int MAX_OPEN = 4_096;

  private final long memoryBytes;
  private final long diskBytes;
  private final Map<String, Entry> open = new LinkedHashMap<>();
  private final Map<String, Entry> memory = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Entry> disk = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Long> latest = new HashMap<>();
  private long memoryUsed;
  private long diskUsed;
  private long evicted;

  /** Starts above every generation of an earlier process, because none may be used again. */
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
    if (open.size() > MAX_OPEN) {
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
      drop(key, previous);
    }
    memory.put(id(key, generation), new Entry(key, generation, length, e.data(), checksum, false));
    memoryUsed += length;
    spill();
    return true;
  }

  /** Returns the sealed generation of a key. */
  synchronized @Nullable Entry sealed(String key) {
    Long g = latest.get(key);
    return g == null ? null : find(key, g);
  }

  /** Returns a sealed generation. */
  synchronized @Nullable Entry find(String key, long generation) {
    Entry e = memory.get(id(key, generation));
    return e == null ? disk.get(id(key, generation)) : e;
  }

  synchronized void remove(String key, long generation) {
    drop(key, generation);
    latest.remove(key, generation);
  }

  private void drop(String key, long generation) {
    Entry m = memory.remove(id(key, generation));
    Entry d = disk.remove(id(key, generation));
    memoryUsed -= m == null ? 0 : m.length();
    diskUsed -= d == null ? 0 : d.length();
  }

  private void spill() {
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
