package org.cowslipyoke.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.request.ProbeRound.Held;
import org.cowslipyoke.routing.Candidate;
import org.jspecify.annotations.Nullable;

/** Finds a server for a request: rounds of probes, the choice, and release of unused offers. */
final class Placement {

  /** Result of a round. */
  sealed interface Result {
    /** The offer to use. */
    record Taken(Held held) implements Result {}

    /** No offer can be used. */
    record Nothing(Failure failure) implements Result {}
  }

  /** Servers asked at most when a request looks for its earlier run. */
  private static final int ATTACH_PROBES = 16;

  private final RequestSpec spec;
  private final RequestContext context;
  private final RunMessages messages;
  private final Outbox out;
  private final Set<String> tried = new HashSet<>();
  private final Map<Long, Vm> abandoned = new HashMap<>();
  private @Nullable ProbeRound round;

  Placement(RequestSpec spec, RequestContext context, RunMessages messages, Outbox out) {
    this.spec = spec;
    this.context = context;
    this.messages = messages;
    this.out = out;
  }

  /** Returns whether there is a server that this request has not tried. */
  boolean hasUntried() {
    return context.servers().get().stream().anyMatch(s -> !tried.contains(s.vm()));
  }

  /** Allows servers that refused earlier to be asked again. */
  void forgetTried() {
    tried.clear();
  }

  /** Sends the probes of a round; returns false if there is no server to ask. */
  boolean startRound(boolean suspect) {
    List<Vm> servers =
        context.servers().get().stream().filter(s -> !tried.contains(s.vm())).toList();
    List<Vm> chosen =
        spec.skipTokens() > 0
            ? servers.stream().limit(ATTACH_PROBES).toList()
            : context.policy().probes(spec.routing(), servers);
    long now = context.clock().nowMs();
    ProbeRound r = new ProbeRound(now);
    for (Vm s : chosen) {
      long c = out.newChannel();
      r.asked(c, s);
      out.add(new Action.Probe(c, s, messages.probe(now, suspect)));
    }
    round = chosen.isEmpty() ? null : r;
    return !chosen.isEmpty();
  }

  /** Returns the time at which the round ends at the latest. */
  long wakeAtMs() {
    return round == null ? Long.MAX_VALUE : round.closesAtMs();
  }

  /** Takes the answer to a probe; a late offer is released. */
  void onMessage(long channel, Message message) {
    ProbeRound r = round;
    Vm late = abandoned.remove(channel);
    if (r != null && r.isPending(channel)) {
      onAnswer(r, channel, message);
    } else if (late != null && message instanceof Offer o) {
      out.add(new Action.Release(channel, late, new Message.Release(o.reservationId())));
    } else if (late != null) {
      out.add(new Action.Close(channel));
    }
  }

  /** The stream of a probe has ended. */
  void onClosed(long channel) {
    abandoned.remove(channel);
    if (round != null) {
      markTried(round, channel);
      round.closed(channel);
    }
  }

  /**
   * Ends the round if all have answered or its time is over.
   *
   * @param mayAttach whether an offer of a run in progress may be used
   */
  Optional<Result> decide(boolean mayAttach) {
    ProbeRound r = round;
    if (r == null || !r.isOver(context.clock().nowMs())) {
      return Optional.empty();
    }
    Optional<Held> taken = choose(r, mayAttach);
    abandon(r, taken.map(Held::channel).orElse(-1L));
    taken.ifPresent(h -> tried.add(h.candidate().server().vm()));
    Result nothing = new Result.Nothing(CallerFailures.of(r.refusals()));
    return Optional.of(taken.<Result>map(Result.Taken::new).orElse(nothing));
  }

  /** Ends the round and releases all its offers. */
  void stop() {
    if (round != null) {
      abandon(round, -1);
    }
  }

  private void onAnswer(ProbeRound r, long channel, Message message) {
    if (message instanceof Offer o) {
      r.offered(channel, o, context.clock().nowMs());
      return;
    }
    markTried(r, channel);
    if (message instanceof Refused f) {
      r.refused(channel, f);
    } else {
      r.closed(channel);
    }
    out.add(new Action.Close(channel));
  }

  private Optional<Held> choose(ProbeRound r, boolean mayAttach) {
    Optional<Held> running = mayAttach ? r.running() : Optional.empty();
    if (running.isPresent() || spec.skipTokens() > 0) {
      return running;
    }
    List<Candidate> offers =
        r.offers().stream().map(Held::candidate).filter(Placement::isReserved).toList();
    Optional<Candidate> best = context.policy().choose(spec.routing(), offers);
    return r.offers().stream()
        .filter(h -> best.filter(h.candidate()::equals).isPresent())
        .findAny();
  }

  /** A server without room that still holds the run makes an offer that reserves nothing. */
  private static boolean isReserved(Candidate c) {
    Offer o = c.offer();
    return o.runningOffset() < 0 || !o.weightVersion().isEmpty();
  }

  private void abandon(ProbeRound r, long keptChannel) {
    round = null;
    abandoned.putAll(r.pending());
    r.pending().values().forEach(s -> tried.add(s.vm()));
    for (Held h : r.offers()) {
      if (h.channel() != keptChannel) {
        Candidate c = h.candidate();
        Message.Release m = new Message.Release(c.offer().reservationId());
        out.add(new Action.Release(h.channel(), c.server(), m));
      }
    }
  }

  private void markTried(ProbeRound r, long channel) {
    Vm server = r.pending().get(channel);
    if (server != null) {
      tried.add(server.vm());
    }
  }
}
