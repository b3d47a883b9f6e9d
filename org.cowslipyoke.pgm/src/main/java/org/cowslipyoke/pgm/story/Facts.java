package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A bounded number of facts, each message of a VM once; those nearest to the end of the request are
 * kept.
 */
final class Facts {

  static final int MAX = 500;

  private final long endMs;
  private final Map<String, Fact> facts = new LinkedHashMap<>();
  private long dropped;

  Facts(long endMs) {
    this.endMs = endMs;
  }

  void add(LogLine line, long atMs) {
    String key = line.vm() + " " + line.message();
    Fact known = facts.get(key);
    facts.put(key, known == null ? new Fact(line, atMs, 1, atMs) : known.again(atMs));
    if (facts.size() > MAX) {
      facts.entrySet().stream()
          .max(Comparator.comparingLong(e -> Math.abs(e.getValue().lastMs() - endMs)))
          .map(Map.Entry::getKey)
          .ifPresent(facts::remove);
      dropped++;
    }
  }

  long dropped() {
    return dropped;
  }

  List<Fact> sorted() {
    List<Fact> all = new ArrayList<>(facts.values());
    all.sort(Comparator.comparingLong(Fact::atMs));
    return all;
  }
}
