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
import org.cowslipyoke.request.ProbeRound.HeldOffer;
import org.cowslipyoke.routing.Candidate;
import org.jspecify.annotations.Nullable;

/**
 * Selects the server for a request: sends rounds of probes, chooses an offer and releases the
 * others.
 */
final class Placement {

  /** Result of a round of probes. */
  sealed interface Result {
    /** An offer was selected. */
    record Selected(HeldOffer offer) implements Result {}

    /** No offer was usable. */
    record None(Failure failure) implements Result {}
  }

  /** Largest number of servers probed when a reconnecting request looks for its earlier run. */
  private static final int ATTACH_PROBES = 16;

  private final RequestSpec spec;
  private final RequestContext context;
  private final RequestMessages messages;
  private final ActionBuffer out;
  private final Set<String> tried = new HashSet<>();
  private final Map<Long, Vm> lateProbes = new HashMap<>();
  private @Nullable ProbeRound round;

  Placement(RequestSpec spec, RequestContext context, RequestMessages messages, ActionBuffer out) {
    this.spec = spec;
    this.context = context;
    this.messages = messages;
    this.out = out;
  }

  /** Returns whether there is a live server that this request has not tried. */
  boolean hasUntried() {
    return context.servers().get().stream().anyMatch(s -> !tried.contains(s.vm()));
  }

  /** Allows servers that were tried to be probed again. */
  void resetTried() {
    tried.clear();
  }

  /** Sends the probes of a new round; returns false if there is no server to probe. */
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
      r.addProbe(c, s);
      out.add(new Action.Probe(c, s, messages.probe(now, suspect)));
    }
    round = chosen.isEmpty() ? null : r;
    return !chosen.isEmpty();
  }

  /** Returns the time at which the round ends even if answers are missing. */
  long wakeAtMs() {
    return round == null ? Long.MAX_VALUE : round.endsAtMs();
  }

  /** Handles the answer to a probe; an offer that arrives after its round is released. */
  void onMessage(long channel, Message message) {
    ProbeRound r = round;
    Vm late = lateProbes.remove(channel);
    if (r != null && r.isPending(channel)) {
      onAnswer(r, channel, message);
    } else if (late != null && message instanceof Offer o) {
      out.add(new Action.Release(channel, late, new Message.Release(o.reservationId())));
    } else if (late != null) {
      out.add(new Action.Close(channel));
    }
  }

  /** Handles the end of a probe's stream. */
  void onClosed(long channel) {
    lateProbes.remove(channel);
    if (round != null) {
      markTried(round, channel);
      round.onClosed(channel);
    }
  }

  /**
   * Ends the round if all servers have answered or its time is over.
   *
   * @param mayAttach whether to prefer a server that already runs the request
   * @return the result; empty if the round goes on
   */
  Optional<Result> decide(boolean mayAttach) {
    ProbeRound r = round;
    if (r == null || !r.isOver(context.clock().nowMs())) {
      return Optional.empty();
    }
    Optional<HeldOffer> selected = choose(r, mayAttach);
    closeRound(r, selected.map(HeldOffer::channel).orElse(-1L));
    selected.ifPresent(h -> tried.add(h.candidate().server().vm()));
    Result none = new Result.None(CallerFailures.of(r.refusals()));
    return Optional.of(selected.<Result>map(Result.Selected::new).orElse(none));
  }

  /** Ends the round without a result and releases all its offers. */
  void stop() {
    if (round != null) {
      closeRound(round, -1);
    }
  }

  private void onAnswer(ProbeRound r, long channel, Message message) {
    if (message instanceof Offer o) {
      r.onOffer(channel, o, context.clock().nowMs());
      return;
    }
    markTried(r, channel);
    if (message instanceof Refused f) {
      r.onRefusal(channel, f);
    } else {
      r.onClosed(channel);
    }
    out.add(new Action.Close(channel));
  }

  private Optional<HeldOffer> choose(ProbeRound r, boolean mayAttach) {
    Optional<HeldOffer> running = mayAttach ? r.runningOffer() : Optional.empty();
    if (running.isPresent() || spec.skipTokens() > 0) {
      return running;
    }
    List<Candidate> offers =
        r.offers().stream().map(HeldOffer::candidate).filter(Placement::isReserved).toList();
    Optional<Candidate> best = context.policy().choose(spec.routing(), offers);
    return r.offers().stream()
        .filter(h -> best.filter(h.candidate()::equals).isPresent())
        .findAny();
  }

  /**
   * Returns whether the offer reserves capacity. A server without capacity that still holds the run
   * sends an offer without a reservation.
   */
  private static boolean isReserved(Candidate c) {
    Offer o = c.offer();
    return o.runningOffset() < 0 || !o.weightVersion().isEmpty();
  }

  private void closeRound(ProbeRound r, long keptChannel) {
    round = null;
    lateProbes.putAll(r.pending());
    r.pending().values().forEach(s -> tried.add(s.vm()));
    for (HeldOffer h : r.offers()) {
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
