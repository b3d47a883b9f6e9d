package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prefix cache with LRU eviction that publishes its events late; guarded by the engine model. */
final class PrefixCache {

  private static final int MAX_EVENTS = 2_000;

  private static final int MAX_COMPUTED = 500_000;

  private record Event(long sequence, long visibleAtNs, boolean added, String key) {}

  /** Number of cached leading blocks of a prompt, and how many of them are corrupt. */
  record Hit(int blocks, int corrupt) {}

  private final int capacity;
  private final long eventDelayNs;
  private final Faults faults;

  /** Whether the content of a cached block is corrupt, by key. */
  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  private final Deque<Event> events = new ArrayDeque<>();
  private final Map<String, Integer> computed = new LinkedHashMap<>();
  private long sequence;
  private long firstAvailable = 1;

  PrefixCache(int capacity, long eventDelayMs, Faults faults) {
    this.capacity = capacity;
    this.eventDelayNs = eventDelayMs * 1_000_000;
    this.faults = faults;
  }

  /** Returns how many leading keys are cached, and marks them as used. */
  Hit prefix(List<String> keys) {
    int n = 0;
    int corrupt = 0;
    for (String k : keys) {
      Boolean c = blocks.get(k);
      if (c == null) {
        break;
      }
      n++;
      corrupt += c ? 1 : 0;
    }
    return new Hit(n, corrupt);
  }

  boolean contains(String key) {
    return blocks.containsKey(key);
  }

  boolean isCorrupt(String key) {
    return blocks.getOrDefault(key, false);
  }

  void add(String key, boolean corrupt) {
    if (blocks.put(key, corrupt) == null) {
      publish(true, key);
    }
    while (blocks.size() > capacity) {
      Iterator<String> i = blocks.keySet().iterator();
      String eldest = i.next();
      i.remove();
      publish(false, eldest);
    }
  }

  /** Counts a computed block; returns whether it had been computed before. */
  boolean countComputed(String key) {
    int n = computed.merge(key, 1, Integer::sum);
    if (computed.size() > MAX_COMPUTED) {
      Iterator<String> i = computed.keySet().iterator();
      i.next();
      i.remove();
    }
    return n > 1;
  }

  /** Evicts all blocks and publishes an event for each. */
  void evictAll() {
    List<String> keys = new ArrayList<>(blocks.keySet());
    blocks.clear();
    keys.forEach(k -> publish(false, k));
  }

  /** Drops all blocks and all events, as after a restart. */
  void restart() {
    blocks.clear();
    events.clear();
    sequence++;
    firstAvailable = sequence + 1;
  }

  int size() {
    return blocks.size();
  }

  void writeKeys(ObjectNode out) {
    ArrayNode keys = out.putArray("keys");
    blocks.keySet().forEach(keys::add);
  }

  void writeComputed(ObjectNode out) {
    ObjectNode counts = out.putObject("computed");
    computed.forEach(counts::put);
  }

  void writeEvents(long after, ObjectNode out) {
    long now = System.nanoTime();
    List<Event> visible = new ArrayList<>();
    for (Event e : events) {
      if (e.sequence() > after && e.visibleAtNs() <= now) {
        visible.add(e);
      }
    }
    if (faults.flag("reorderEvents")) {
      Collections.reverse(visible);
    }
    out.put("firstAvailable", firstAvailable);
    ArrayNode list = out.putArray("events");
    for (Event e : visible) {
      list.addObject()
          .put("sequence", e.sequence())
          .put("change", e.added() ? "added" : "evicted")
          .put("key", e.key());
    }
  }

  private void publish(boolean added, String key) {
    sequence++;
    if (faults.consumeOccurrence("loseEvents")) {
      return;
    }
    events.add(new Event(sequence, System.nanoTime() + eventDelayNs, added, key));
    if (events.size() > MAX_EVENTS) {
      firstAvailable = events.remove().sequence() + 1;
    }
  }
}
