package org.cowslipyoke.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.routing.Candidate;

/** One round of probes: who was asked, who has answered, and until when answers are collected. */
final class ProbeRound {

  /** Milliseconds after the first offer in which further offers are collected. */
  static final long COLLECT_MS = 40;

  /** Milliseconds after which a round without any offer ends. */
  static final long MAX_MS = 500;

  /** An offer and the channel on which it came. */
  record Held(long channel, Candidate candidate) {}

  private final Map<Long, Vm> pending = new LinkedHashMap<>();
  private final List<Held> offers = new ArrayList<>();
  private final List<Refused> refusals = new ArrayList<>();
  private long closesAtMs;

  ProbeRound(long nowMs) {
    closesAtMs = nowMs + MAX_MS;
  }

  void asked(long channel, Vm server) {
    pending.put(channel, server);
  }

  /** Returns whether the channel belongs to a probe without an answer. */
  boolean isPending(long channel) {
    return pending.containsKey(channel);
  }

  void offered(long channel, Offer offer, long nowMs) {
    Vm server = pending.remove(channel);
    if (server == null) {
      return;
    }
    if (offers.isEmpty()) {
      closesAtMs = Math.min(closesAtMs, nowMs + COLLECT_MS);
    }
    offers.add(new Held(channel, new Candidate(server, offer)));
  }

  void refused(long channel, Refused refusal) {
    if (pending.remove(channel) != null) {
      refusals.add(refusal);
    }
  }

  /** Forgets a channel that was closed; a held offer on it cannot be used any more. */
  void closed(long channel) {
    pending.remove(channel);
    offers.removeIf(h -> h.channel() == channel);
  }

  /** Returns whether the round is over: all have answered, or the collection time has passed. */
  boolean isOver(long nowMs) {
    return pending.isEmpty() || nowMs >= closesAtMs;
  }

  long closesAtMs() {
    return closesAtMs;
  }

  List<Held> offers() {
    return offers;
  }

  List<Refused> refusals() {
    return refusals;
  }

  Map<Long, Vm> pending() {
    return pending;
  }

  /** Returns the offer of a server that already runs the request. */
  Optional<Held> running() {
    return offers.stream().filter(h -> h.candidate().offer().runningOffset() >= 0).findFirst();
  }
}
