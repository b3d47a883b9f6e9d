package org.cowslipyoke.suspect;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays prompts of which some hold a deadly part to a fleet, and checks the targets of its users:
 * at most three such prompts reach a server later than 3 s after the fifth crash, and sound prompts
 * begin to be answered from 6 s after it.
 */
class PartSuspectsFleetTest {

  private static final int STEP_MS = 10;
  private static final int REPORT_STEPS = 5;
  private static final long PLAY_MS = 40_000;
  private static final long DEADLY_FROM_MS = 4_000;
  private static final long RESTART_MS = 3_300;
  private static final long CONTACT_MS = 3_000;
  private static final int MAX_LATE = 3;
  private static final double REPORT_LOSS = 0.02;

  private static final long DEADLY = -1;
  private static final long FIRST_PARTS = 4;
  private static final long SESSIONS = 440;

  private record Run(
      CrashSuspects entry, List<Long> parts, int server, int incarnation, long startMs, long ms) {

    boolean isDeadly() {
      return parts.contains(DEADLY);
    }
  }

  /** A fleet of entries and servers under a load of prompts. */
  private static final class Fleet {

    private final ManualClock clock = new ManualClock();
    private final Random random;
    private final List<CrashSuspects> entries = new ArrayList<>();
    private final int[] incarnations;
    private final long[] upFromMs;
    private final List<Run> runs = new ArrayList<>();
    private final List<Long> crashesMs = new ArrayList<>();
    private final List<Long> deadlySentMs = new ArrayList<>();
    private final Map<Boolean, Integer> soundAsked = new HashMap<>();
    private final Map<Boolean, Integer> soundBegun = new HashMap<>();

    Fleet(int entries, int servers, long seed) {
      this.random = new Random(seed);
      this.incarnations = new int[servers];
      this.upFromMs = new long[servers];
      for (int i = 0; i < entries; i++) {
        this.entries.add(new CrashSuspects(clock));
      }
    }

    void play(double ratePerSecond, double deadlyShare) {
      final long playFromMs = clock.nowMs();
      for (int step = 0; clock.nowMs() < playFromMs + PLAY_MS; step++) {
        double due = ratePerSecond * STEP_MS / 1_000.0;
        while (random.nextDouble() < due) {
          due--;
          boolean started = clock.nowMs() >= playFromMs + DEADLY_FROM_MS;
          arrive(started && random.nextDouble() < deadlyShare);
        }
        clock.advance(STEP_MS);
        endRuns();
        if (step % REPORT_STEPS == 0) {
          report();
        }
      }
    }

    private void arrive(boolean deadly) {
      CrashSuspects entry = entries.get(random.nextInt(entries.size()));
      long first = deadly ? 0 : random.nextLong(FIRST_PARTS);
      long session = FIRST_PARTS + (deadly ? 0 : random.nextLong(SESSIONS));
      List<Long> parts = deadly ? List.of(first, session, DEADLY) : List.of(first, session);
      boolean late = isLate(2 * CONTACT_MS);
      if (!deadly) {
        soundAsked.merge(late, 1, Integer::sum);
      }
      List<Integer> up = new ArrayList<>();
      for (int s = 0; s < upFromMs.length; s++) {
        if (upFromMs[s] <= clock.nowMs()) {
          up.add(s);
        }
      }
      if (up.isEmpty() || entry.parts().holdOf(parts).isPresent()) {
        return;
      }
      int server = up.get(random.nextInt(up.size()));
      long ms = 100 + random.nextLong(400);
      runs.add(new Run(entry, parts, server, incarnations[server], clock.nowMs(), ms));
      if (deadly) {
        deadlySentMs.add(clock.nowMs());
      }
    }

    private boolean isLate(long slackMs) {
      return crashesMs.size() >= 5 && clock.nowMs() > crashesMs.get(4) + slackMs;
    }

    private void endRuns() {
      List<Run> due = runs.stream().filter(r -> r.startMs() + r.ms() <= clock.nowMs()).toList();
      runs.removeAll(due);
      for (Run r : due) {
        if (r.incarnation() != incarnations[r.server()]) {
          continue;
        }
        if (r.isDeadly()) {
          crash(r);
        } else {
          soundBegun.merge(isLate(2 * CONTACT_MS), 1, Integer::sum);
          r.entry().parts().recordBegun(r.parts());
        }
      }
    }

    private void crash(Run culprit) {
      int s = culprit.server();
      List<Run> lost = new ArrayList<>(runs.stream().filter(r -> r.server() == s).toList());
      runs.removeAll(lost);
      lost.add(culprit);
      for (Run r : lost) {
        r.entry().parts().recordLoss(r.parts(), "s" + s + "@" + incarnations[s], r.startMs());
      }
      incarnations[s]++;
      upFromMs[s] = clock.nowMs() + RESTART_MS;
      crashesMs.add(clock.nowMs());
    }

    private void report() {
      for (CrashSuspects from : entries) {
        Optional<PartReport> r = from.parts().nextReport();
        for (CrashSuspects to : entries) {
          if (r.isPresent() && to != from && random.nextDouble() >= REPORT_LOSS) {
            to.parts().accept(r.get());
          }
        }
      }
    }

    long lateDeadly() {
      return crashesMs.size() < 5
          ? 0
          : deadlySentMs.stream().filter(ms -> ms > crashesMs.get(4) + CONTACT_MS).count();
    }

    double servedLate() {
      int asked = soundAsked.getOrDefault(true, 0);
      return asked == 0 ? 1 : (double) soundBegun.getOrDefault(true, 0) / asked;
    }

    double served() {
      int asked = soundAsked.values().stream().mapToInt(n -> n).sum();
      return (double) soundBegun.values().stream().mapToInt(n -> n).sum() / asked;
    }
  }

  @ParameterizedTest
  @CsvSource({
    "5, 6, 25, 0.05",
    "5, 6, 25, 0.5",
    "3, 6, 40, 0.02",
    "23, 30, 125, 0.05",
    "33, 42, 180, 0.3"
  })
  void deadlyPartStaysWithinItsBudget(int entries, int servers, double rate, double share) {
    for (long seed = 1; seed <= 5; seed++) {
      Fleet fleet = new Fleet(entries, servers, seed);
      fleet.play(rate, share);
      String seen =
          String.format(
              "seed %d: crashes %d, deadly prompts sent late %d, sound served %.3f, late %.3f",
              seed, fleet.crashesMs.size(), fleet.lateDeadly(), fleet.served(), fleet.servedLate());
      System.out.println(seen);
      assertTrue(fleet.crashesMs.size() >= PartSuspects.MIN_CRASHES, seen);
      assertTrue(fleet.lateDeadly() <= MAX_LATE, seen);
      assertTrue(fleet.servedLate() >= 0.5, seen);
    }
  }
}
