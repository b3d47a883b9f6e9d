package org.cowslipyoke.daemon.runtime;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.daemon.runtime.Replica.Acceptance;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.message.Message.DocumentPull;
import org.cowslipyoke.message.Message.Notice;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.PeerConnection;
import org.cowslipyoke.transport.StreamHandler;
import org.cowslipyoke.transport.StreamOpener;
import org.cowslipyoke.transport.VersionListener;
import org.cowslipyoke.util.Clock;

/**
 * Replicates the configuration and the suspects list. Entries read the table and notify other
 * processes of new versions; every process pulls from a peer whose frames carry a higher version.
 * {@link #tick} starts all periodic work.
 */
final class DocumentExchange implements VersionListener {

  /** Number of random entries that an entry notifies of a new version. */
  static final int NOTIFIED_ENTRIES = 4;

  /**
   * Added to the interval between head reads for each live entry, in milliseconds, so that all
   * entries together read 8 times per second.
   */
  static final long HEAD_READ_INTERVAL_PER_ENTRY_MS = 125;

  /** Shortest interval between head reads, in milliseconds. */
  static final long MIN_HEAD_READ_INTERVAL_MS = 1_000;

  /**
   * Interval at which a server pulls from an entry, in milliseconds, in case every notice to it was
   * lost.
   */
  static final long SERVER_PULL_INTERVAL_MS = 5_000;

  /**
   * Head reads per read of the suspects row. Frames carry the version of the suspects list; the
   * read covers an entry that crashed after writing the row.
   */
  private static final int HEAD_READS_PER_SUSPECTS_READ = 30;

  /** Interval between attempts to catch up, in milliseconds. */
  private static final long CATCH_UP_RETRY_INTERVAL_MS = 500;

  private static final int SAMPLE_ENTRIES = 4;
  private static final int SAMPLE_SERVERS = 2;
  private static final Logger LOG = LogManager.getLogger(DocumentExchange.class);

  private final boolean isEntry;
  private final Clock clock;
  private final PauseDetector pauses;
  private final TransactionalTable table;
  private final PeerDirectory peers;
  private final Executor workers;
  private final Random random;
  private final List<Replica> replicas;

  /** The configuration comes last, because admission starts once it is loaded. */
  private final List<Replica> catchUpReplicas;

  private final ExchangeStats stats = new ExchangeStats();
  private final Map<String, Long> pullUntilMs = new ConcurrentHashMap<>();
  private final VersionNotices notices;
  private final AtomicBoolean catchUpInProgress = new AtomicBoolean();
  private final AtomicBoolean readInProgress = new AtomicBoolean();
  private volatile StreamOpener opener = new UnconnectedOpener();
  private volatile long nextCatchUpMs;
  private volatile long nextReadMs;
  private int readCount;

  /**
   * Creates an exchange.
   *
   * @param isEntry whether this process has the entry role
   * @param replicas the configuration and the suspects list, in this order
   */
  DocumentExchange(
      boolean isEntry,
      Clock clock,
      PauseDetector pauses,
      TransactionalTable table,
      PeerDirectory peers,
      Executor workers,
      Random random,
      List<Replica> replicas) {
    this.isEntry = isEntry;
    this.clock = clock;
    this.pauses = pauses;
    this.table = table;
    this.peers = peers;
    this.workers = workers;
    this.random = random;
    this.replicas = replicas;
    this.notices = new VersionNotices(replicas, peers, stats);
    this.catchUpReplicas = List.of(replicas.get(1), replicas.get(0));
    this.nextCatchUpMs = clock.nowMs();
    this.nextReadMs = clock.nowMs() + MIN_HEAD_READ_INTERVAL_MS;
  }

  /** Sets the transport; called once before the first {@link #tick}. */
  void connect(StreamOpener streams) {
    this.opener = streams;
  }

  ExchangeStats stats() {
    return stats;
  }

  /** Returns whether the documents have been fetched since the start and the last pause. */
  boolean isCurrent() {
    return pauses.isCurrent() && configuration().version() > 0;
  }

  /**
   * Returns whether this process has a configuration. Without one it pulls from several peers only,
   * because a single one may be outdated.
   */
  private boolean hasCopy() {
    return configuration().version() > 0;
  }

  private Replica configuration() {
    return replicas.get(0);
  }

  /** Starts the periodic work that is due; called every {@link PauseDetector#TICK_MS}. */
  void tick() {
    pauses.tick();
    long now = clock.nowMs();
    if (!isCurrent() && now >= nextCatchUpMs) {
      runExclusively(catchUpInProgress, this::catchUp);
    }
    if (now >= nextReadMs) {
      runExclusively(readInProgress, this::readPeriodically);
    }
    notifyNewVersions();
  }

  private void runExclusively(AtomicBoolean running, Runnable task) {
    if (running.compareAndSet(false, true)) {
      Runnable guarded =
          () -> {
            try {
              task.run();
            } finally {
              running.set(false);
            }
          };
      if (!submit(guarded)) {
        running.set(false);
      }
    }
  }

  private boolean submit(Runnable task) {
    try {
      workers.execute(task);
      return true;
    } catch (RejectedExecutionException e) {
      LOG.warn("workers rejected a task of the document exchange");
      return false;
    }
  }

  /** Fetches both documents from the table, or from several peers if the table is unavailable. */
  private void catchUp() {
    try {
      stats.catchUps.increment();
      long pause = pauses.pauseCount();
      peers.refresh();
      boolean fromTable = catchUpReplicas.stream().allMatch(r -> readTable(r));
      if (fromTable || pullFromAll(peers.sample(SAMPLE_ENTRIES, SAMPLE_SERVERS))) {
        pauses.confirmRecovered(pause);
      }
    } finally {
      nextCatchUpMs = clock.nowMs() + jitter(CATCH_UP_RETRY_INTERVAL_MS);
    }
  }

  private boolean readTable(Replica replica) {
    return replica
        .read(table)
        .peek(this::count)
        .peekLeft(
            f -> LOG.debug("reading {} from the table failed: {}", replica.name(), f.message()))
        .isRight();
  }

  /**
   * Pulls both documents from all given peers and activates the newest ones, not the first ones,
   * because a peer may be outdated.
   *
   * @return whether at least one peer responded for each document
   */
  private boolean pullFromAll(List<Vm> targets) {
    boolean answered = !targets.isEmpty();
    for (Replica r : catchUpReplicas) {
      List<CompletableFuture<Document>> pulls = targets.stream().map(t -> pull(t, r)).toList();
      List<Document> documents = pulls.stream().flatMap(p -> join(p).stream()).toList();
      documents.stream()
          .sorted((a, b) -> Long.compare(b.version(), a.version()))
          .filter(d -> d.version() > 0)
          .forEach(d -> count(r.accept(d)));
      answered &= !documents.isEmpty();
    }
    return answered;
  }

  private CompletableFuture<Document> pull(Vm target, Replica replica) {
    stats.pulls.increment();
    return DocumentPuller.pull(
        h -> opener.open(target.host(), target.port(), h), replica.name(), replica.version());
  }

  private List<Document> join(CompletableFuture<Document> pull) {
    try {
      return List.of(pull.join());
    } catch (CompletionException e) {
      stats.pullFailures.increment();
      return List.of();
    }
  }

  private void readPeriodically() {
    try {
      peers.refresh();
      if (isEntry) {
        stats.headReads.increment();
        boolean read = readTable(configuration());
        if (read && ++readCount % HEAD_READS_PER_SUSPECTS_READ == 0) {
          read = replicas.stream().allMatch(this::readTable);
        }
        if (!read) {
          stats.headReadFailures.increment();
          boolean pulled = hasCopy() && pullFromAll(peers.randomEntries(1));
          LOG.debug("table unavailable, peerResponded={}", pulled);
        }
      } else if (hasCopy()
          && !pullFromAll(peers.notifyingEntries(1))
          && !pullFromAll(peers.randomEntries(1))) {
        LOG.debug("no entry responded to a pull");
      }
    } finally {
      nextReadMs = clock.nowMs() + jitter(periodicReadIntervalMs());
    }
  }

  private long periodicReadIntervalMs() {
    return isEntry
        ? Math.max(MIN_HEAD_READ_INTERVAL_MS, HEAD_READ_INTERVAL_PER_ENTRY_MS * peers.liveEntries())
        : SERVER_PULL_INTERVAL_MS;
  }

  private long jitter(long ms) {
    return (long) (ms * (0.8 + 0.4 * random.nextDouble()));
  }

  @Override
  public void newer(
      String peerVm, PeerConnection connection, long configVersion, long suspectsVersion) {
    long[] versions = {configVersion, suspectsVersion};
    for (int i = 0; i < versions.length; i++) {
      Replica r = replicas.get(i);
      // A process without a copy first pulls from several peers, because this one may be outdated.
      if (r.version() > 0 && versions[i] > r.version()) {
        pullIfIdle(connection::open, r);
      }
    }
  }

  /**
   * Pulls unless a pull of this document is in progress. If it fails, a later frame of the peer
   * triggers another one.
   */
  private void pullIfIdle(Function<StreamHandler, MessageStream> open, Replica replica) {
    long now = clock.nowMs();
    long until = now + DocumentPuller.TIMEOUT_MS;
    Long set = pullUntilMs.compute(replica.name(), (k, v) -> v != null && v > now ? v : until);
    if (set == null || set != until) {
      return;
    }
    pullNow(open, replica, replica.version());
  }

  private void pullNow(
      Function<StreamHandler, MessageStream> open, Replica replica, long haveVersion) {
    stats.pulls.increment();
    CompletableFuture<Document> unused =
        DocumentPuller.pull(open, replica.name(), haveVersion)
            .whenComplete(
                (document, error) -> {
                  if (error != null) {
                    stats.pullFailures.increment();
                    pullUntilMs.remove(replica.name());
                  } else if (!submit(() -> accept(open, replica, document, haveVersion))) {
                    pullUntilMs.remove(replica.name());
                  }
                });
  }

  private void accept(
      Function<StreamHandler, MessageStream> open,
      Replica replica,
      Document document,
      long haveVersion) {
    Acceptance a = document.version() == 0 ? Acceptance.STALE : replica.accept(document);
    count(a);
    if (a == Acceptance.NEEDS_COMPLETE && haveVersion > 0) {
      pullNow(open, replica, 0);
      return;
    }
    pullUntilMs.remove(replica.name());
    if (a == Acceptance.ACCEPTED) {
      notifyNewVersions();
    }
  }

  private void count(Acceptance acceptance) {
    if (acceptance == Acceptance.ACCEPTED) {
      stats.accepted.increment();
    } else if (acceptance == Acceptance.REFUSED) {
      stats.refused.increment();
    }
  }

  /** Sends notices if a version has increased, including one that the role itself activated. */
  private void notifyNewVersions() {
    if (notices.hasGrown() && isEntry) {
      submit(() -> notices.send(opener));
    }
  }

  /**
   * Handles a message of a peer if it belongs to the exchange. Called from an I/O thread.
   *
   * @return whether the message belongs to the exchange
   */
  boolean handle(MessageStream stream, Message message) {
    if (message instanceof Notice) {
      stream.close();
      return true;
    }
    if (!(message instanceof DocumentPull pull)) {
      return false;
    }
    boolean submitted =
        submit(
            () -> {
              for (Replica r : replicas) {
                if (r.name().equals(pull.name())) {
                  respond(stream, r.changesSince(pull.haveVersion()));
                }
              }
            });
    if (!submitted) {
      stream.close();
    }
    return true;
  }

  private void respond(MessageStream stream, Document document) {
    if (document.version() > 0) {
      (document.fromVersion() > 0 ? stats.patchesSent : stats.completeDocumentsSent).increment();
    }
    stream.send(document);
  }

  private static final class UnconnectedOpener implements StreamOpener {

    @Override
    public MessageStream open(String host, int port, StreamHandler handler) {
      throw new IllegalStateException("the document exchange is not connected to a transport");
    }
  }
}
