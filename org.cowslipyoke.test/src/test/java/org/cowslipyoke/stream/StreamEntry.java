package org.cowslipyoke.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.fake.FakeStreamTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.stream.StreamTable.Baselines;

/** One entry on a shared table, refreshed and stepped as the adapter of the platform does it. */
final class StreamEntry {

  static final String SERVICE = "s";
  static final long STEP_MS = 250;

  /** Time-out of the only route, in milliseconds. */
  static final long ROUTE_MS = 5_000;

  /** Time for which callers take streams up, as {@link StreamVersions#takeUpMs} states it. */
  static final long TAKE_UP_MS =
      2 * ROUTE_MS + StreamVersions.takeUpMs(FleetState.initial(0, 0), SERVICE);

  private static final long LIST_READ_MS = 350;
  private static final long BASELINES_READ_MS = 3_500;
  private static final long SWEEP_MS = 60_000;

  final ManualClock clock;
  final FakeStreamTable.Client client;
  final PauseDetector pauses;
  final StreamVersions versions;
  final StreamRecorder recorder;
  final StreamLedger ledger;
  final int rank;
  FleetState state;
  private Map<String, StreamTable.BaselineRow> rows = Map.of();
  private boolean flushDue;
  private long stepMs;
  private long listMs;
  private long baselinesMs;
  private long sweepMs;

  StreamEntry(ManualClock clock, FakeStreamTable table, int rank) {
    this.clock = clock;
    this.rank = rank;
    this.client = table.client(clock);
    this.pauses = new PauseDetector(clock);
    this.versions = new StreamVersions(clock, pauses);
    this.recorder = new StreamRecorder(clock, client, () -> TAKE_UP_MS, () -> flushDue = true);
    this.state = FleetState.initial(clock.nowMs(), clock.wallMs());
    this.ledger =
        new StreamLedger(
            clock,
            client,
            versions,
            recorder,
            () -> state,
            Runnable::run,
            Runnable::run,
            s -> CompletableFuture.completedFuture(true));
    this.sweepMs = clock.nowMs() + SWEEP_MS;
  }

  /** Returns servers of a version, named after it. */
  static List<BackendServer> servers(String software, int count) {
    List<BackendServer> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String id = software + "-" + i;
      list.add(new BackendServer(id, 1, SERVICE, "h", 80, "d", false, 0, 8, Map.of(), software));
    }
    return list;
  }

  /** Does what is due; returns whether the baselines were read. */
  boolean run(Map<String, BackendServer> listed) {
    pauses.tick();
    long now = clock.nowMs();
    if (now >= listMs) {
      listMs = now + LIST_READ_MS;
      if (client.readClock()) {
        state = state.withServers(Map.copyOf(listed), now);
      }
    }
    boolean read = now >= baselinesMs && readBaselines();
    if (now >= stepMs) {
      stepMs = now + STEP_MS;
      step();
    }
    flush();
    return read;
  }

  private boolean readBaselines() {
    long pause = pauses.pauseCount();
    long now = clock.nowMs();
    var read = client.readBaselines();
    read.peek(b -> accept(b, now, pause));
    baselinesMs = now + (read.isRight() ? BASELINES_READ_MS + 100L * rank : STEP_MS);
    return read.isRight();
  }

  private void accept(Baselines b, long sentMs, long pause) {
    rows = b.rows();
    versions.update(b, sentMs, pause);
  }

  /** Hears that another entry has just read the baselines. */
  void hear(StreamEntry reader) {
    if (rows.equals(reader.rows)) {
      versions.confirm(clock.nowMs());
      baselinesMs = clock.nowMs() + BASELINES_READ_MS + 100L * rank;
    } else {
      baselinesMs = 0;
    }
  }

  /** Writes the records that wait. */
  void flush() {
    if (flushDue) {
      flushDue = recorder.flush();
    }
  }

  /** Looks at the servers and replaces the baseline if that is due. */
  void step() {
    versions.observe(state, client.era());
    ledger.checkEra();
    recorder.probe();
    if (client.earliestMs() < 0 || clock.nowMs() - state.serversReadMs() > 3_000) {
      return;
    }
    versions
        .next(SERVICE, TAKE_UP_MS, client.latestMs(), client.era(), rank)
        .ifPresent(
            r -> {
              client.replaceBaseline(SERVICE, r.rowVersion(), r.next());
              baselinesMs = 0;
            });
    if (rank == 0 && clock.nowMs() >= sweepMs) {
      sweepMs = clock.nowMs() + SWEEP_MS;
      client
          .expired("", client.earliestMs() - 2 * TAKE_UP_MS)
          .peek(page -> client.write(List.of(), page.keys()));
    }
  }
}
