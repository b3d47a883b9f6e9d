package org.cowslipyoke.fake;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.stream.StreamBaseline;
import org.cowslipyoke.stream.StreamRecord;
import org.cowslipyoke.stream.StreamTable;
import org.cowslipyoke.util.Clock;

/**
 * Rows about streams in memory, with switches for an outage, for writes whose answers are lost or
 * that are applied late, and for a return from an older copy. Each entry has a {@link Client}.
 */
public final class FakeStreamTable {

  private record Rows(
      Map<String, StreamTable.BaselineRow> baselines,
      TreeMap<String, StreamRecord> records,
      long version) {

    Rows copied() {
      return new Rows(new HashMap<>(baselines), new TreeMap<>(records), version);
    }
  }

  private record Late(long atMs, Runnable write) {}

  private final LongSupplier trueMs;
  private final List<Late> late = new ArrayList<>();
  private Rows rows = new Rows(new HashMap<>(), new TreeMap<>(), 0);
  private Rows copy = rows.copied();
  private long era = 1;
  private long aheadMs;
  private boolean outage;
  private int lostAnswers;
  private long lateMs;

  /** Creates an empty table whose clock follows a time in milliseconds. */
  public FakeStreamTable(LongSupplier trueMs) {
    this.trueMs = trueMs;
  }

  /** Makes every call fail without effect until it is switched off. */
  public void setOutage(boolean on) {
    outage = on;
  }

  /** Applies the next write but reports {@code OUTCOME_UNKNOWN}. */
  public void loseAnswer() {
    lostAnswers = 1;
  }

  /** Reports {@code OUTCOME_UNKNOWN} for the next write and applies it after a delay. */
  public void delayWrite(long ms) {
    lateMs = ms;
  }

  /** Copies the rows for {@link #returnFromCopy}. */
  public void copy() {
    applyLate();
    copy = rows.copied();
  }

  /**
   * Brings back the rows of the last copy in a higher era.
   *
   * @param clockMs time by which the table's clock jumps, in milliseconds
   */
  public void returnFromCopy(long clockMs) {
    applyLate();
    rows = copy.copied();
    era++;
    aheadMs += clockMs;
  }

  /** Returns the time of the table's clock in milliseconds. */
  public long nowMs() {
    return trueMs.getAsLong() + aheadMs;
  }

  /** Returns the number of writes that are still to be applied. */
  public int lateWrites() {
    applyLate();
    return late.size();
  }

  /** Returns the number of records. */
  public int recordCount() {
    applyLate();
    return rows.records().size();
  }

  /** Returns the number of records of a request. */
  public int recordCount(String request) {
    applyLate();
    return (int) rows.records().values().stream().filter(r -> r.request().equals(request)).count();
  }

  /** Returns the client of an entry that has read nothing. */
  public Client client(Clock own) {
    return new Client(own);
  }

  private void applyLate() {
    List<Late> due = late.stream().filter(l -> l.atMs() <= trueMs.getAsLong()).toList();
    late.removeAll(due);
    due.forEach(l -> l.write().run());
  }

  private Either<Failure, Boolean> perform(Runnable write) {
    if (lateMs > 0) {
      late.add(new Late(trueMs.getAsLong() + lateMs, write));
      lateMs = 0;
      return failed(ErrorKind.OUTCOME_UNKNOWN);
    }
    write.run();
    boolean lost = lostAnswers > 0;
    lostAnswers = 0;
    return lost ? failed(ErrorKind.OUTCOME_UNKNOWN) : Either.right(true);
  }

  private static <T> Either<Failure, T> failed(ErrorKind kind) {
    return Either.left(Failure.of(kind, "table"));
  }

  private void raiseVersion() {
    rows = new Rows(rows.baselines(), rows.records(), rows.version() + 1);
  }

  /** One entry's connection; knows the era and the clock by the answers it got. */
  public final class Client implements StreamTable {

    private final Clock own;
    private boolean reachable = true;
    private long newestEra;
    private long clockEra = -1;
    private long offsetMs;
    private Runnable beforeCall = () -> {};

    private Client(Clock own) {
      this.own = own;
    }

    public void setReachable(boolean on) {
      reachable = on;
    }

    public boolean isReachable() {
      return reachable && !outage;
    }

    /** Sets what happens just before the next call, and only then. */
    public void beforeNextCall(Runnable event) {
      beforeCall = event;
    }

    /** Reads any other table, which tells the clock; returns whether that succeeded. */
    public boolean readClock() {
      if (!call()) {
        return false;
      }
      clockEra = era;
      offsetMs = nowMs() - own.nowMs();
      return true;
    }

    private boolean call() {
      Runnable event = beforeCall;
      beforeCall = () -> {};
      event.run();
      applyLate();
      if (isReachable()) {
        newestEra = era;
      }
      return isReachable();
    }

    @Override
    public Either<Failure, Baselines> readBaselines() {
      return call()
          ? Either.right(
              new Baselines(Map.copyOf(rows.baselines()), nowMs(), nowMs() - 1, newestEra))
          : failed(ErrorKind.STORE_UNAVAILABLE);
    }

    @Override
    public void replaceBaseline(String service, long rowVersion, StreamBaseline next) {
      if (call()) {
        var unused =
            perform(
                () -> {
                  BaselineRow before = rows.baselines().get(service);
                  if (rowVersion == (before == null ? 0 : before.rowVersion())) {
                    raiseVersion();
                    rows.baselines().put(service, new BaselineRow(next, rows.version()));
                  }
                });
      }
    }

    @Override
    public Either<Failure, List<StreamRecord>> records(String request) {
      return call()
          ? Either.right(
              List.copyOf(
                  rows.records()
                      .subMap(request + "/", request + "0") // '0' follows '/'.
                      .values()))
          : failed(ErrorKind.STORE_UNAVAILABLE);
    }

    @Override
    public Either<Failure, Boolean> write(List<StreamRecord> records, List<String> removedKeys) {
      return call()
          ? perform(
              () -> {
                raiseVersion();
                records.forEach(r -> rows.records().put(r.key(), r));
                removedKeys.forEach(rows.records()::remove);
              })
          : failed(ErrorKind.STORE_UNAVAILABLE);
    }

    @Override
    public Either<Failure, ExpiredKeys> expired(String from, long beforeMs) {
      return call()
          ? Either.right(
              new ExpiredKeys(
                  rows.records().values().stream()
                      .filter(r -> r.recordedMs() < beforeMs)
                      .map(StreamRecord::key)
                      .toList(),
                  ""))
          : failed(ErrorKind.STORE_UNAVAILABLE);
    }

    @Override
    public long era() {
      return newestEra;
    }

    @Override
    public long earliestMs() {
      return clockEra == newestEra ? own.nowMs() + offsetMs - 1 : -1;
    }

    @Override
    public long latestMs() {
      return own.nowMs() + offsetMs + 1;
    }
  }
}
