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
import org.cowslipyoke.errors.Failure;
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
 * Spreads the configuration and the suspects list: entries read the table, every process pulls from
 * a peer whose frame carried a higher version, entries send notices. {@link #tick} drives all
 * periodic work.
 */
final class DocumentExchange implements VersionListener {

  /** Other entries that an entry notifies of a new version. */
  static final int NOTICE_ENTRIES = 4;

  /** Share of a head read that each live entry adds to the interval: 8 reads a second in all. */
  static final long HEAD_READ_PER_ENTRY_MS = 125;

  /** Shortest interval between head reads. */
  static final long MIN_HEAD_READ_MS = 1_000;

  /** Interval at which a server asks an entry, in case every notice to it was lost. */
  static final long SERVER_ASK_MS = 5_000;

  /**
   * Head reads for each read of the suspects row. Frames carry its version; the read covers an
   * entry that died after the write.
   */
  private static final int SUSPECTS_READ_EVERY = 30;

  /** Pause between two attempts to catch up. */
  private static final long CATCH_UP_RETRY_MS = 500;

  private static final int SAMPLE_ENTRIES = 4;
  private static final int SAMPLE_SERVERS = 2;
  private static final Logger LOG = LogManager.getLogger(DocumentExchange.class);

  private final boolean entry;
  private final Clock clock;
  private final PauseDetector pauses;
  private final TransactionalTable table;
  private final PeerDirectory peers;
  private final Executor workers;
  private final Random random;
  private final List<Replica> replicas;

  /** The configuration comes last, because admission starts with it. */
  private final List<Replica> catchUpOrder;

  private final ExchangeStats stats = new ExchangeStats();
  private final Map<String, Long> pullUntilMs = new ConcurrentHashMap<>();
  private final Map<String, Long> announced = new ConcurrentHashMap<>();
  private final AtomicBoolean catchingUp = new AtomicBoolean();
  private final AtomicBoolean reading = new AtomicBoolean();
  private volatile StreamOpener opener = new NoOpener();
  private volatile long nextCatchUpMs;
  private volatile long nextReadMs;
  private int readCount;

  /** Creates an exchange of the configuration and the suspects list, in this order. */
  DocumentExchange(
      boolean entry,
      Clock clock,
      PauseDetector pauses,
      TransactionalTable table,
      PeerDirectory peers,
      Executor workers,
      Random random,
      List<Replica> replicas) {
    this.entry = entry;
    this.clock = clock;
    this.pauses = pauses;
    this.table = table;
    this.peers = peers;
    this.workers = workers;
    this.random = random;
    this.replicas = replicas;
    this.catchUpOrder = List.of(replicas.get(1), replicas.get(0));
    this.nextCatchUpMs = clock.nowMs();
    this.nextReadMs = clock.nowMs() + MIN_HEAD_READ_MS;
  }

  /** Sets the transport; called once before the first {@link #tick}. */
  void connect(StreamOpener streams) {
    this.opener = streams;
  }

  ExchangeStats stats() {
    return stats;
  }

  /** Returns whether every document that admission needs has been fetched. */
  boolean isCurrent() {
    return pauses.isCurrent() && configuration().version() > 0;
  }

  private Replica configuration() {
    return replicas.get(0);
  }

  /** Does the periodic work that is due; called every {@link PauseDetector#TICK_MS}. */
  void tick() {
    pauses.tick();
    long now = clock.nowMs();
    if (!isCurrent() && now >= nextCatchUpMs) {
      once(catchingUp, this::catchUp);
    }
    if (now >= nextReadMs) {
      once(reading, this::readPeriodically);
    }
    announceNewVersions();
  }

  private void once(AtomicBoolean running, Runnable task) {
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
      LOG.warn("document work is postponed, the workers are busy");
      return false;
    }
  }

  /** Fetches both documents from the table, or from several peers if the table is away. */
  private void catchUp() {
    try {
      stats.catchUps.increment();
      long pause = pauses.pauseCount();
      peers.refresh();
      boolean fromTable = catchUpOrder.stream().allMatch(r -> readTable(r));
      if (fromTable || askAll(peers.sample(SAMPLE_ENTRIES, SAMPLE_SERVERS))) {
        pauses.confirmRecovered(pause);
      }
    } finally {
      nextCatchUpMs = clock.nowMs() + jitter(CATCH_UP_RETRY_MS);
    }
  }

  private boolean readTable(Replica replica) {
    return replica
        .read(table)
        .peek(this::count)
        .peekLeft(f -> LOG.debug("{} is not read: {}", replica.name(), f.message()))
        .isRight();
  }

  /**
   * Asks all peers for both documents and puts the newest in force, not the first one, because a
   * peer may be outdated.
   *
   * @return whether at least one peer answered for both documents
   */
  private boolean askAll(List<Vm> targets) {
    boolean answered = !targets.isEmpty();
    for (Replica r : catchUpOrder) {
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
      if (entry) {
        stats.headReads.increment();
        boolean read = readTable(configuration());
        if (read && ++readCount % SUSPECTS_READ_EVERY == 0) {
          read = replicas.stream().allMatch(this::readTable);
        }
        if (!read) {
          stats.headReadFailures.increment();
          boolean asked = askAll(peers.randomEntries(1));
          LOG.debug("table is away, a peer answered: {}", asked);
        }
      } else if (!askAll(peers.entriesFor(1)) && !askAll(peers.randomEntries(1))) {
        LOG.debug("no entry answered");
      }
    } finally {
      nextReadMs = clock.nowMs() + jitter(readIntervalMs());
    }
  }

  private long readIntervalMs() {
    return entry
        ? Math.max(MIN_HEAD_READ_MS, HEAD_READ_PER_ENTRY_MS * peers.liveEntries())
        : SERVER_ASK_MS;
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
      // A process without a copy asks all its peers first; the peer of this frame may be behind.
      if (r.version() > 0 && versions[i] > r.version()) {
        pullFrom(connection::open, r);
      }
    }
  }

  /** Pulls once at a time; the frames of the peer repeat the report if the pull fails. */
  private void pullFrom(Function<StreamHandler, MessageStream> open, Replica replica) {
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
    if (a == Acceptance.NEEDS_WHOLE && haveVersion > 0) {
      pullNow(open, replica, 0);
      return;
    }
    pullUntilMs.remove(replica.name());
    if (a == Acceptance.ACCEPTED) {
      announceNewVersions();
    }
  }

  private void count(Acceptance acceptance) {
    if (acceptance == Acceptance.ACCEPTED) {
      stats.accepted.increment();
    } else if (acceptance == Acceptance.REFUSED) {
      stats.refused.increment();
    }
  }

  /** Sends notices if a version grew, also one that the role itself put in force. */
  private void announceNewVersions() {
    boolean grown = false;
    for (Replica r : replicas) {
      long version = r.version();
      Long before = announced.put(r.name(), version);
      grown |= version > (before == null ? 0 : before);
    }
    if (grown && entry) {
      submit(this::sendNotices);
    }
  }

  private void sendNotices() {
    peers.refresh();
    peers.assignedServers().forEach(this::sendNotice);
    peers.randomEntries(NOTICE_ENTRIES).forEach(this::sendNotice);
  }

  private void sendNotice(Vm target) {
    MessageStream stream = opener.open(target.host(), target.port(), new Ignoring());
    if (stream.send(new Notice())) {
      stats.noticesSent.increment();
    }
    stream.close();
  }

  /** Answers a peer's message if it belongs to the exchange. Called from an I/O thread. */
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
                  answer(stream, r.since(pull.haveVersion()));
                }
              }
            });
    if (!submitted) {
      stream.close();
    }
    return true;
  }

  private void answer(MessageStream stream, Document document) {
    if (document.version() > 0) {
      (document.fromVersion() > 0 ? stats.patchesSent : stats.wholesSent).increment();
    }
    stream.send(document);
  }

  /** A notice needs no answer; a peer that can't be reached learns the version from others. */
  private static final class Ignoring implements StreamHandler {

    @Override
    public void onMessage(MessageStream stream, Message message) {}

    @Override
    public void onClosed(MessageStream stream, Failure failure) {}
  }

  private static final class NoOpener implements StreamOpener {

    @Override
    public MessageStream open(String host, int port, StreamHandler handler) {
      throw new IllegalStateException("the transport is not connected");
    }
  }
}
