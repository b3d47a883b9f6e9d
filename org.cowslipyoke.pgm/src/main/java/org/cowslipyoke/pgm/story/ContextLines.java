package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounded collection of context lines. Equal messages of a VM are merged; when the collection is
 * full, the line farthest from the end of the request is dropped.
 */
final class ContextLines {

  static final int MAX_LINES = 500;

  private final long endMs;
  private final Map<String, ContextLine> lines = new LinkedHashMap<>();
  private long dropped;

  ContextLines(long endMs) {
    this.endMs = endMs;
  }

  void add(LogLine line, long atMs) {
    String key = line.vm() + " " + line.message();
    ContextLine known = lines.get(key);
    lines.put(key, known == null ? new ContextLine(line, atMs, 1, atMs) : known.repeatedAt(atMs));
    if (lines.size() > MAX_LINES) {
      lines.entrySet().stream()
          .max(Comparator.comparingLong(e -> Math.abs(e.getValue().lastMs() - endMs)))
          .map(Map.Entry::getKey)
          .ifPresent(lines::remove);
      dropped++;
    }
  }

  long dropped() {
    return dropped;
  }

  List<ContextLine> sorted() {
    List<ContextLine> all = new ArrayList<>(lines.values());
    all.sort(Comparator.comparingLong(ContextLine::atMs));
    return all;
  }
}
