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

/** Handles the messages of entries for a model engine. Methods may block for a short time. */
final class ModelRequestHandler {

  private static final Logger LOG = LogManager.getLogger(ModelRequestHandler.class);

  /**
   * Time for which a probe waits for the store VMs, in milliseconds. Entries collect offers for a
   * short time only, so a longer wait would lose the offer.
   */
  private static final long PLAN_TIMEOUT_MS = 30;

  /**
   * Maximum number of fetch plans that wait for their start message; the oldest is dropped first. A
   * plan is also removed when its reservation is released or used.
   */
  private static final int MAX_PLANS = 1_024;

  private final Clock clock;
  private final ServerAvailability standing;
  private final ServerAdmission admission;
  private final RunRegistry registry;
  private final RunScheduler scheduler;
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

  ModelRequestHandler(
      Clock clock,
      ServerAvailability standing,
      ServerAdmission admission,
      RunRegistry registry,
      RunScheduler scheduler,
      BlockImporter importer,
      ServerMetrics metrics,
      Executor lookups,
      Supplier<String> runIds) {
    this.clock = clock;
    this.standing = standing;
    this.admission = admission;
    this.registry = registry;
    this.scheduler = scheduler;
    this.importer = importer;
    this.metrics = metrics;
    this.lookups = lookups;
    this.runIds = runIds;
  }

  Message probe(Probe p) {
    long runningOffset = runningOffset(p);
    Optional<Failure> refusal = standing.refusal();
    if (refusal.isPresent() && runningOffset < 0) {
      return refused(refusal.get());
    }
    CompletableFuture<FetchPlan> planned = plan(p);
    FetchPlan plan = await(planned);
    int fetchable = plan.fetch().size() * BlockChain.BLOCK_TOKENS;
    int cached = Math.min(p.promptTokens(), plan.cachedBlocks() * BlockChain.BLOCK_TOKENS);
    int recomputed = Math.max(0, p.promptTokens() - cached - fetchable);
    Either<Failure, Grant> granted =
        admission.probe(AdmissionRequests.of(p), new PrefillEstimate(recomputed, plan.fetchMs()));
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
    boolean run = admission.release(reservationId);
    synchronized (plans) {
      plans.remove(reservationId);
    }
    LOG.debug("reservation released: {}", run);
  }

  /** Starts a run, or attaches to the run that an earlier copy of the message started. */
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
    FetchPlan plan = planned == null ? FetchPlan.none(0) : await(planned);
    Run run = new Run(s, clock);
    Optional<Failure> refusal =
        scheduler.start(
            run, runIds.get(), () -> importer.start(plan, admission.prefillTokensPerSecond()));
    if (refusal.isPresent()) {
      send(stream, refused(refusal.get()));
      return Optional.empty();
    }
    boolean attached = run.attach(stream, s.offset());
    LOG.info("run queued, fetchBlocks={} attached={}", plan.fetch().size(), attached);
    scheduler.dispatch();
    return Optional.of(run);
  }

  /** Attaches to a run of the same organisation, request and digest. */
  Optional<Run> resume(Resume r, MessageStream stream) {
    Optional<Run> run = registry.find(r.organisation(), r.requestId(), r.digest());
    if (run.isEmpty()) {
      send(stream, runNotFound(r.requestId()));
      return Optional.empty();
    }
    return attach(run.get(), stream, r.requestId(), r.offset());
  }

  void cancel(Run run) {
    scheduler.cancel(run);
    scheduler.dispatch();
  }

  private Optional<Run> attach(Run run, MessageStream stream, String requestId, long offset) {
    Optional<Refused> refusal = run.refusal();
    if (refusal.isPresent()) {
      Refused r = refusal.get();
      send(stream, new Failed(requestId, r.kind(), Outcome.NOT_RUN, r.message()));
      return Optional.empty();
    }
    if (!run.attach(stream, offset)) {
      send(stream, runNotFound(requestId));
      return Optional.empty();
    }
    return Optional.of(run);
  }

  /**
   * Returns whether a start message belongs to an existing run: it has the same reservation, or the
   * run has not ended and covers the requested offset. A running run is never started a second
   * time.
   */
  private static boolean isSameRun(Run run, Start s) {
    return run.start().reservationId() == s.reservationId()
        || (!run.isEnded() && !run.isCancelled() && run.start().offset() <= s.offset());
  }

  private long runningOffset(Probe p) {
    return registry
        .find(p.organisation(), p.requestId(), p.digest())
        .filter(r -> r.start().offset() == 0 && !r.isCancelled())
        .filter(r -> !r.isEnded() || r.isAnswered())
        .map(Run::nextOffset)
        .orElse(-1L);
  }

  /**
   * Plans which blocks to fetch. The keys of the probe are valid only for the weight version that
   * they were derived from.
   */
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

  private static FetchPlan await(CompletableFuture<FetchPlan> planned) {
    try {
      return planned.get(PLAN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      LOG.warn("planning a block fetch failed", e);
    } catch (TimeoutException e) {
      LOG.debug("store VMs did not respond in time");
    }
    return FetchPlan.none(0);
  }

  private Offer attachOnly(long runningOffset) {
    return new Offer(0, 0, 0, 0, 0, 0, admission.active(), "", runningOffset);
  }

  private Refused refused(Failure f) {
    metrics.countRefusal(f.kind());
    return new Refused(f.kind(), f.message(), f.retryAfterMs());
  }

  private static Failed runNotFound(String requestId) {
    return new Failed(
        requestId, ErrorKind.NOT_FOUND, Outcome.UNKNOWN, "this server has no such run");
  }

  private static void send(MessageStream stream, Message message) {
    if (!stream.send(message)) {
      LOG.debug("the stream is closed");
    }
  }
}
