package org.cowslipyoke.refresh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiPredicate;
import java.util.function.IntPredicate;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.refresh.ReaderGroup.Member;
import org.cowslipyoke.refresh.TableRefresh.Effect;
import org.cowslipyoke.refresh.TableRefresh.Intervals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays groups of entries that share their reads of one table in simulated time. */
class TableRefreshTest {

  private static final String TABLE = "t";

  /** Time within which a change must be in force, in milliseconds. */
  private static final long BOUND_MS = 4_000;

  private static final Intervals INTERVALS = new Intervals(1_400, 800, 250);

  /** Duration of a read, and delay of a confirmation, in milliseconds. */
  private static final long READ_MS = 5;

  private static final long STEP_MS = 5;

  private final ManualClock clock = new ManualClock();

  /** Digest of the table's content in the store. */
  private long stored = 1;

  /** An entry with its copy of the table. */
  private final class Entry {
    private final int number;
    private final ReaderGroup group;
    private final TableRefresh refresh = new TableRefresh(clock, INTERVALS);
    private long copy;
    private long copyAsOfMs;
    private long readEndMs = Long.MAX_VALUE;
    private long readDigest;
    private int reads;

    Entry(int number, ReaderGroup group) {
      this.number = number;
      this.group = group;
    }

    boolean step(boolean storeReachable, List<TableConfirmation> sent) {
      if (clock.nowMs() >= readEndMs) {
        readEndMs = Long.MAX_VALUE;
        if (!storeReachable) {
          refresh.recordFailure();
          return false;
        }
        long asOfMs = clock.nowMs() - READ_MS;
        copy = readDigest;
        copyAsOfMs = asOfMs;
        if (refresh.recordRead(readDigest, asOfMs)) {
          sent.add(new TableConfirmation(TABLE, readDigest, asOfMs));
          return true;
        }
      } else if (readEndMs == Long.MAX_VALUE
          && refresh.dueInMs(group.rank(TABLE), group.size()) <= 0) {
        refresh.recordStart();
        reads++;
        readDigest = stored;
        readEndMs = clock.nowMs() + READ_MS;
      }
      return false;
    }

    void receive(TableConfirmation c) {
      if (refresh.accept(c, OptionalLong.of(c.asOfMs())) == Effect.CONFIRMED) {
        copyAsOfMs = c.asOfMs();
      }
    }

    long ageMs() {
      return clock.nowMs() - copyAsOfMs;
    }
  }

  private List<Entry> entries(int count, int domains) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("e" + i, "d" + i % domains));
    }
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      List<Member> others = new ArrayList<>(members);
      Member self = others.remove(i);
      entries.add(new Entry(i, ReaderGroup.of(self, others)));
    }
    return entries;
  }

  private long play(
      List<Entry> entries,
      long ms,
      IntPredicate runs,
      IntPredicate storeReachable,
      BiPredicate<Integer, Integer> connected) {
    long maxAgeMs = 0;
    for (long t = 0; t < ms; t += STEP_MS) {
      clock.advance(STEP_MS);
      for (Entry e : entries) {
        List<TableConfirmation> sent = new ArrayList<>();
        if (runs.test(e.number) && e.step(storeReachable.test(e.number), sent)) {
          for (Entry o : entries) {
            boolean reached = o != e && runs.test(o.number) && connected.test(e.number, o.number);
            if (reached && e.group.contains("e" + o.number)) {
              o.receive(sent.get(0));
            }
          }
        }
      }
      for (Entry e : entries) {
        if (runs.test(e.number)) {
          maxAgeMs = Math.max(maxAgeMs, e.ageMs());
        }
      }
    }
    return maxAgeMs;
  }

  private long play(List<Entry> entries, long ms) {
    return play(entries, ms, i -> true, i -> true, (a, b) -> true);
  }

  private static int reads(List<Entry> entries) {
    return entries.stream().mapToInt(e -> e.reads).sum();
  }

  /** Guards against calls to the store that grow with the number of entries. */
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 33, 60})
  void oneEntryReadsForAll(int count) {
    List<Entry> entries = entries(count, 4);
    play(entries, 2_000);
    int before = reads(entries);
    long maxAgeMs = play(entries, 28_000);
    assertTrue(maxAgeMs <= INTERVALS.readMs() + 4 * READ_MS, () -> "age " + maxAgeMs);
    int read = reads(entries) - before;
    assertTrue(read <= 28_000 / INTERVALS.readMs() + 1, () -> "reads " + read);
  }

  /** The aim of 400 entries in 26 failure domains, two tables, below 300 calls a second in all. */
  @Test
  void fourHundredEntriesReadOncePerFailureDomain() {
    List<Entry> entries = entries(400, 26);
    play(entries, 2_000);
    int before = reads(entries);
    long maxAgeMs = play(entries, 10_000);
    assertTrue(maxAgeMs <= INTERVALS.readMs() + 4 * READ_MS, () -> "age " + maxAgeMs);
    int read = reads(entries) - before;
    assertTrue(2 * read / 10 < 100, () -> "reads of two tables a second: " + 2 * read / 10);
  }

  /** Guards against copies that nobody refreshes any more after their reader ended. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 16, 32})
  void copiesStayFreshWhileReadersEnd(int ended) {
    List<Entry> entries = entries(33, 6);
    play(entries, 3_000);
    IntPredicate runs = i -> entries.get(i).group.rank(TABLE) >= ended;
    long maxAgeMs = play(entries, 20_000, runs, i -> true, (a, b) -> true);
    long limit = INTERVALS.readMs() + INTERVALS.spreadMs() + 4 * READ_MS;
    assertTrue(maxAgeMs <= limit, () -> "age " + maxAgeMs);
  }

  /** Guards against entries that rely on a reader that they can't hear. */
  @Test
  void copiesStayFreshOnBothSidesOfPartition() {
    List<Entry> entries = entries(33, 6);
    play(entries, 3_000);
    long maxAgeMs = play(entries, 20_000, i -> true, i -> true, (a, b) -> a % 6 / 3 == b % 6 / 3);
    long limit = INTERVALS.readMs() + INTERVALS.spreadMs() + 4 * READ_MS;
    assertTrue(maxAgeMs <= limit, () -> "age " + maxAgeMs);
  }

  /** An entry that the store turns away stays current through the others. */
  @Test
  void entriesTurnedAwayAreConfirmedByOthers() {
    List<Entry> entries = entries(33, 6);
    play(entries, 3_000);
    long maxAgeMs = play(entries, 20_000, i -> true, i -> i % 2 == 0, (a, b) -> true);
    long limit = INTERVALS.readMs() + INTERVALS.spreadMs() + 4 * READ_MS;
    assertTrue(maxAgeMs <= limit, () -> "age " + maxAgeMs);
  }

  /** Guards against a change that only its reader learns of, and against a storm of reads. */
  @ParameterizedTest
  @ValueSource(ints = {5, 33, 400})
  void changesReachAllEntriesAtOnce(int count) {
    List<Entry> entries = entries(count, 26);
    play(entries, 3_000);
    final int before = reads(entries);
    stored = 2;
    long changedMs = clock.nowMs();
    while (entries.stream().anyMatch(e -> e.copy != 2)) {
      play(entries, STEP_MS);
      assertTrue(clock.nowMs() - changedMs < BOUND_MS / 2, "change not in force");
    }
    play(entries, 100);
    int read = reads(entries) - before;
    assertTrue(read <= count + 26, () -> "reads " + read);
  }

  /** Guards against a copy that is called current although it was read before the confirmation. */
  @Test
  void confirmationOfOtherContentRequiresRead() {
    TableRefresh r = new TableRefresh(clock, INTERVALS);
    r.recordStart();
    assertTrue(r.recordRead(1, 100));
    clock.advance(300);
    assertEquals(Effect.NONE, r.accept(new TableConfirmation(TABLE, 2, 99), OptionalLong.of(0)));
    assertEquals(
        Effect.READ_REQUIRED, r.accept(new TableConfirmation(TABLE, 2, 101), OptionalLong.of(0)));
    assertEquals(0, r.dueInMs(7, 33));
    assertEquals(
        Effect.NONE,
        r.accept(new TableConfirmation(TABLE, 1, 102), OptionalLong.of(clock.nowMs())));
    r.recordStart();
    assertFalse(r.recordRead(2, 103), "the others were told of the change already");
    assertTrue(r.dueInMs(0, 33) > 0);
  }

  /** Guards against a change that arrives during a read of the previous content. */
  @Test
  void changeDuringReadRequiresAnotherRead() {
    TableRefresh r = new TableRefresh(clock, INTERVALS);
    r.recordStart();
    r.accept(new TableConfirmation(TABLE, 2, 101), OptionalLong.of(clock.nowMs()));
    r.recordRead(1, 100);
    assertEquals(INTERVALS.minMs(), r.dueInMs(7, 33));
  }

  /** Guards against keeping a wrong copy for good because others confirm the same one. */
  @Test
  void eachEntryReadsItselfNowAndThen() {
    TableRefresh r = new TableRefresh(clock, INTERVALS);
    r.recordStart();
    r.recordRead(1, 100);
    for (int i = 0; i < 60; i++) {
      clock.advance(500);
      r.accept(new TableConfirmation(TABLE, 1, 101 + i), OptionalLong.of(clock.nowMs()));
    }
    assertEquals(0, r.dueInMs(32, 33));
  }

  /** Guards against trusting a date that a suspended process can't compare with its own clock. */
  @Test
  void incomparableDateRequiresRead() {
    TableRefresh r = new TableRefresh(clock, INTERVALS);
    r.recordStart();
    r.recordRead(1, 100);
    assertEquals(
        Effect.READ_REQUIRED, r.accept(new TableConfirmation(TABLE, 1, 101), OptionalLong.empty()));
  }

  /** Guards against calls without a pause while the store is out of reach. */
  @Test
  void failedReadIsRetriedAfterMinimumInterval() {
    TableRefresh r = new TableRefresh(clock, INTERVALS);
    r.recordStart();
    clock.advance(5);
    r.recordFailure();
    assertEquals(INTERVALS.minMs() - 5, r.dueInMs(0, 33));
  }
}
