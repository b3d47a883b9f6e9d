package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds gaps in the log of a VM that otherwise writes steadily; its process was frozen, starved or
 * gone during them.
 */
final class LogGaps {

  /** Shortest gap that counts; garbage collection and short stalls stay below it. */
  static final long MIN_GAP_MS = 1_000;

  /** Minimum length of a gap as a multiple of the mean interval between two lines. */
  static final int MIN_MEAN_INTERVALS = 10;

  private static final int MAX_GAPS = 100;

  /** Time in which a VM logged nothing. */
  record Gap(String vm, long fromMs, long toMs) {}

  private static final class VmLines {
    long firstMs;
    long lastMs;
    int lines;
  }

  private final Set<String> vms;
  private final long fromMs;
  private final long untilMs;
  private final Map<String, VmLines> linesByVm = new HashMap<>();
  private final List<Gap> found = new ArrayList<>();

  LogGaps(Set<String> vms, long fromMs, long untilMs) {
    this.vms = vms;
    this.fromMs = fromMs;
    this.untilMs = untilMs;
  }

  void accept(String vm, long ms) {
    if (!vms.contains(vm) || ms < fromMs) {
      return;
    }
    VmLines w = linesByVm.get(vm);
    if (w == null) {
      w = new VmLines();
      w.firstMs = ms;
      linesByVm.put(vm, w);
    } else if (ms - w.lastMs >= MIN_GAP_MS && w.lastMs <= untilMs && found.size() < MAX_GAPS) {
      found.add(new Gap(vm, w.lastMs, ms));
    }
    if (w.lines == 0 || ms <= untilMs) {
      w.lines++;
    }
    w.lastMs = Math.max(w.lastMs, ms);
  }

  /** Returns the longest unusual gap of a VM that overlaps the given time. */
  Optional<Gap> longest(String vm, long beginMs, long endMs) {
    return found.stream()
        .filter(s -> s.vm().equals(vm) && s.fromMs() <= endMs && s.toMs() >= beginMs)
        .filter(this::isUnusual)
        .max((a, b) -> Long.compare(a.toMs() - a.fromMs(), b.toMs() - b.fromMs()));
  }

  private boolean isUnusual(Gap s) {
    VmLines w = linesByVm.get(s.vm());
    if (w == null) {
      return false;
    }
    long span = Math.min(w.lastMs, untilMs) - w.firstMs;
    return s.toMs() - s.fromMs() >= MIN_MEAN_INTERVALS * span / Math.max(1, w.lines);
  }
}
