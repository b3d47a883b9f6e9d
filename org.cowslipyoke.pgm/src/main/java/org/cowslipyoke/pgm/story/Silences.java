package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds times in which a VM that writes all the time wrote nothing: its process was frozen, starved
 * or gone.
 */
final class Silences {

  /** Shortest silence that counts; garbage collection and short stalls stay below it. */
  static final long MIN_MS = 1_000;

  /** A silence is this much longer than the mean time between two lines. */
  static final int MEAN_GAPS = 10;

  private static final int MAX = 100;

  /** A time without a line of a VM. */
  record Silence(String vm, long fromMs, long toMs) {}

  private static final class Writer {
    long firstMs;
    long lastMs;
    int lines;
  }

  private final Set<String> vms;
  private final long fromMs;
  private final long untilMs;
  private final Map<String, Writer> writers = new HashMap<>();
  private final List<Silence> found = new ArrayList<>();

  Silences(Set<String> vms, long fromMs, long untilMs) {
    this.vms = vms;
    this.fromMs = fromMs;
    this.untilMs = untilMs;
  }

  void accept(String vm, long ms) {
    if (!vms.contains(vm) || ms < fromMs) {
      return;
    }
    Writer w = writers.get(vm);
    if (w == null) {
      w = new Writer();
      w.firstMs = ms;
      writers.put(vm, w);
    } else if (ms - w.lastMs >= MIN_MS && w.lastMs <= untilMs && found.size() < MAX) {
      found.add(new Silence(vm, w.lastMs, ms));
    }
    if (w.lines == 0 || ms <= untilMs) {
      w.lines++;
    }
    w.lastMs = Math.max(w.lastMs, ms);
  }

  /** Returns the longest silence of a VM that touches the given time. */
  Optional<Silence> of(String vm, long beginMs, long endMs) {
    return found.stream()
        .filter(s -> s.vm().equals(vm) && s.fromMs() <= endMs && s.toMs() >= beginMs)
        .filter(this::isUnusual)
        .max((a, b) -> Long.compare(a.toMs() - a.fromMs(), b.toMs() - b.fromMs()));
  }

  private boolean isUnusual(Silence s) {
    Writer w = writers.get(s.vm());
    if (w == null) {
      return false;
    }
    long span = Math.min(w.lastMs, untilMs) - w.firstMs;
    return s.toMs() - s.fromMs() >= MEAN_GAPS * span / Math.max(1, w.lines);
  }
}
