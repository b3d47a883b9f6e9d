package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.admission.ServerAdmission.Grant;
import org.cowslipyoke.admission.ServerAdmission.PrefillEstimate;
import org.cowslipyoke.admission.ServerAvailability;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.FetchPlan;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Probe;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.Resume;
import org.cowslipyoke.message.Message.Start;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.util.Clock;

/** Answers the messages of entries for a model engine. Calls may block for a short time. */
final class ModelServer {

  private static final Logger LOG = LogManager.getLogger(ModelServer.class);

  /**
   * Time for which a probe waits for the store VMs, in milliseconds. Entries collect offers for
   * less, so a longer wait would lose the offer.
   */
  private static final long PLAN_WAIT_MS = 30;

  /** Plans that are kept for starts; one is dropped with its reservation's time. */
  private static final int MAX_PLANS = 1_024;

  private final Clock clock;
  private final ServerAvailability standing;
  private final ServerAdmission admission;
  private final RunRegistry registry;
  private final RunDriver driver;
  private final BlockImporter importer;
  private final ServerMetrics metrics;
  private final Executor lookups;
  private final Supplier<String> runIds;
  private final Map<Long, CompletableFuture<FetchPlan>> plans =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, CompletableFuture<FetchPlan>> e) {
          return size() > MAX_PLANS;
        }
      };

  ModelServer(
      Clock clock,
      ServerAvailability standing,
      ServerAdmission admission,
      RunRegistry registry,
      RunDriver driver,
      BlockImporter importer,
      ServerMetrics metrics,
      Executor lookups,
      Supplier<String> runIds) {
    this.clock = clock;
    this.standing = standing;
    this.admission = admission;
    this.registry = registry;
    this.driver = driver;
    this.importer = importer;
    this.metrics = metrics;
    this.lookups = lookups;
    this.runIds = runIds;
  }

  Message probe(Probe p) {
    long runningOffset = runningOffset(p);
    Optional<Failure> closed = standing.refusal();
    if (closed.isPresent() && runningOffset < 0) {
      return refused(closed.get());
    }
    CompletableFuture<FetchPlan> planned = plan(p);
    FetchPlan plan = ready(planned);
    int fetchable = plan.fetch().size() * BlockChain.BLOCK_TOKENS;
    int cached = Math.min(p.promptTokens(), plan.cachedBlocks() * BlockChain.BLOCK_TOKENS);
    int recomputed = Math.max(0, p.promptTokens() - cached - fetchable);
    Either<Failure, Grant> granted =
        admission.probe(Requests.of(p), new PrefillEstimate(recomputed, plan.fetchMs()));
    if (granted.isLeft()) {
      return runningOffset < 0 ? refused(granted.getLeft()) : attachOnly(runningOffset);
    }
    Grant g = granted.get();
    synchronized (plans) {
      plans.put(g.reservationId(), planned);
    }
    return new Offer(
        g.reservationId(),
        cached,
        fetchable,
        plan.bytes(),
        g.ttftMs(),
        g.queued(),
        g.active(),
        g.weightVersion(),
        runningOffset);
  }

  void release(long reservationId) {
    boolean held = admission.release(reservationId);
    synchronized (plans) {
      plans.remove(reservationId);
    }
    LOG.debug("reservation released: {}", held);
  }

  /** Starts a run, or attaches to the one that the same start has begun. */
  Optional<Run> start(Start s, MessageStream stream) {
    Optional<Run> existing = registry.find(RunKey.of(s));
    if (existing.isPresent() && isSameRun(existing.get(), s)) {
      release(s.reservationId());
      return attach(existing.get(), stream, s.requestId(), s.offset());
    }
    CompletableFuture<FetchPlan> planned;
    synchronized (plans) {
      planned = plans.remove(s.reservationId());
    }
    FetchPlan plan = planned == null ? FetchPlan.none(0) : ready(planned);
    Run run = new Run(s, clock);
    Optional<Failure> refusal =
        driver.start(
            run, runIds.get(), () -> importer.begin(plan, admission.prefillTokensPerSecond()));
    if (refusal.isPresent()) {
      send(stream, refused(refusal.get()));
      return Optional.empty();
    }
    boolean attached = run.attach(stream, s.offset());
    LOG.info("run queued, blocks to fetch {}, attached {}", plan.fetch().size(), attached);
    driver.pump();
    return Optional.of(run);
  }

  /** Attaches to a run of the same organisation, request and digest. */
  Optional<Run> resume(Resume r, MessageStream stream) {
    Optional<Run> held = registry.find(r.organisation(), r.requestId(), r.digest());
    if (held.isEmpty()) {
      send(stream, notHeld(r.requestId()));
      return Optional.empty();
    }
    return attach(held.get(), stream, r.requestId(), r.offset());
  }

  void cancel(Run run) {
    driver.cancel(run);
    driver.pump();
  }

  private Optional<Run> attach(Run run, MessageStream stream, String requestId, long offset) {
    Optional<Refused> refusal = run.refusal();
    if (refusal.isPresent()) {
      Refused r = refusal.get();
      send(stream, new Failed(requestId, r.kind(), Outcome.NOT_RUN, r.message()));
      return Optional.empty();
    }
    if (!run.attach(stream, offset)) {
      send(stream, notHeld(requestId));
      return Optional.empty();
    }
    return Optional.of(run);
  }

  /** A repeated start has the same reservation; a live run is never started a second time. */
  private static boolean isSameRun(Run run, Start s) {
    return run.start().reservationId() == s.reservationId()
        || (!run.isEnded() && !run.isCancelled() && run.start().offset() <= s.offset());
  }

  private long runningOffset(Probe p) {
    return registry
        .find(p.organisation(), p.requestId(), p.digest())
        .filter(r -> r.start().offset() == 0 && !r.isCancelled())
        .filter(r -> !r.isEnded() || r.isAnswered())
        .map(Run::produced)
        .orElse(-1L);
  }

  /** The keys of the probe are of use only for the weights that they were derived for. */
  private CompletableFuture<FetchPlan> plan(Probe p) {
    String version = admission.weightVersion();
    if (p.blockKeys().isEmpty() || !p.weightVersion().equals(version)) {
      return CompletableFuture.completedFuture(FetchPlan.none(0));
    }
    double prefill = admission.prefillTokensPerSecond();
    try {
      return CompletableFuture.supplyAsync(
          () -> importer.plan(List.copyOf(p.blockKeys()), prefill), lookups);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(importer.cachedOnly(p.blockKeys()));
    }
  }

  private static FetchPlan ready(CompletableFuture<FetchPlan> planned) {
    try {
      return planned.get(PLAN_WAIT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      LOG.warn("planning a fetch failed", e);
    } catch (TimeoutException e) {
      LOG.debug("store VMs did not answer in time");
    }
    return FetchPlan.none(0);
  }

  private Offer attachOnly(long runningOffset) {
    return new Offer(0, 0, 0, 0, 0, 0, admission.active(), "", runningOffset);
  }

  private Refused refused(Failure f) {
    metrics.refused(f.kind());
    return new Refused(f.kind(), f.message(), f.retryAfterMs());
  }

  private static Failed notHeld(String requestId) {
    return new Failed(
        requestId, ErrorKind.NOT_FOUND, Outcome.UNKNOWN, "the run is not held by this server");
  }

  private static void send(MessageStream stream, Message message) {
    if (!stream.send(message)) {
      LOG.debug("the stream is closed");
    }
  }
}
