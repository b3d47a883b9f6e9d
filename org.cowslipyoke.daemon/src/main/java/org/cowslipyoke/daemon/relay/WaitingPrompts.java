package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.AdmissionQueue;
import org.cowslipyoke.relay.AdmissionQueue.Attempt;
import org.cowslipyoke.relay.AdmissionQueue.Position;
import org.cowslipyoke.relay.PromptAdmission;
import org.cowslipyoke.relay.PromptAdmission.Applicant;
import org.cowslipyoke.relay.PromptAdmission.Verdict;
import org.cowslipyoke.util.Clock;

/** Prompts that wait at the entry for room at an engine. */
final class WaitingPrompts {

  /** Maximum number of prompts that wait; each holds a connection of its caller. */
  static final int MAX_PROMPTS = 128;

  /** Maximum size of the bodies of waiting prompts, in bytes; a twentieth of an entry's heap. */
  static final long MAX_BYTES = 4L << 20;

  /** Memory of a waiting prompt beside its body, in bytes. */
  private static final long FIXED_BYTES = 4_096;

  /** Minimum retry delay of prompts that find no place, in milliseconds. */
  private static final long MIN_RETRY_MS = 200;

  private static final Logger LOG = LogManager.getLogger(WaitingPrompts.class);

  private final AdmissionQueue<RelayExchange> queue;
  private final MeterRegistry meters;

  WaitingPrompts(Clock clock, MeterRegistry meters) {
    this.meters = meters;
    queue = new AdmissionQueue<>(clock, MAX_PROMPTS, MAX_BYTES);
    meters.gauge("cowslipyoke_relay_waiting_prompts", queue, AdmissionQueue::size);
  }

  /** Starts to try the waiting prompts repeatedly. */
  void start(ScheduledExecutorService timers) {
    var unused =
        timers.scheduleWithFixedDelay(
            this::startAll,
            PromptAdmission.INTERVAL_MS,
            PromptAdmission.INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Returns whether prompts wait that come before another one. */
  boolean hasAhead(RelayExchange x) {
    return queue.size() > 0 && queue.hasAhead(position(x));
  }

  /** Lets a prompt wait; the last one is refused if there are too many. */
  void add(RelayExchange x) {
    Optional<RelayExchange> last = queue.offer(x, position(x));
    if (x.isOver()) {
      queue.remove(x);
    }
    last.ifPresent(
        r -> {
          long retryMs = Math.max(MIN_RETRY_MS, r.elapsedMs());
          r.refuse(new Failure(ErrorKind.OVERLOADED, "too many prompts wait", retryMs));
        });
  }

  /** Removes a prompt that has ended. */
  void remove(RelayExchange x) {
    queue.remove(x);
  }

  /** Counts and logs the decision on a prompt that does not run, if it is a refusal. */
  void recordVerdict(String requestId, Applicant a, Verdict v) {
    if (v.refusal() == null) {
      return;
    }
    String rank = Integer.toString(a.rank());
    Counter.builder("cowslipyoke_relay_prompts_refused")
        .tags("service", a.service(), "rank", rank, "reason", v.reason().name())
        .register(meters)
        .increment();
    LOG.info(
        "prompt refused: request={} route={} organisation={} rank={} reason={} estimateMs={}"
            + " elapsedMs={} leftMs={} tokens={} waiting={}",
        requestId,
        a.route().name(),
        a.organisation(),
        rank,
        v.reason(),
        Math.round(v.estimateMs()),
        a.elapsedMs(),
        a.leftMs(),
        a.prompt().promptTokens(),
        queue.size());
  }

  private void startAll() {
    if (queue.size() > 0) {
      queue.startAll(WaitingPrompts::tryStart);
    }
  }

  /** Tries to start a prompt; one that fails must not keep the others from being tried. */
  private static Attempt tryStart(RelayExchange x) {
    try {
      return x.tryStart(true);
    } catch (RuntimeException e) {
      LOG.error("waiting request failed: request={}", x.request().id(), e);
      return Attempt.SETTLED;
    }
  }

  private static Position position(RelayExchange x) {
    long bytes = FIXED_BYTES + x.body().length;
    return x.placement().waitingPosition(bytes);
  }
}
