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

/** One round of probes: the servers probed, their answers, and the time at which it ends. */
final class ProbeRound {

  /** Milliseconds after the first offer for which further offers are collected. */
  static final long OFFER_COLLECTION_MS = 40;

  /** Milliseconds after which a round without any offer ends. */
  static final long MAX_ROUND_MS = 500;

  /** An offer and the channel on which it was received. */
  record HeldOffer(long channel, Candidate candidate) {}

  private final Map<Long, Vm> pending = new LinkedHashMap<>();
  private final List<HeldOffer> offers = new ArrayList<>();
  private final List<Refused> refusals = new ArrayList<>();
  private long endsAtMs;

  ProbeRound(long nowMs) {
    endsAtMs = nowMs + MAX_ROUND_MS;
  }

  void addProbe(long channel, Vm server) {
    pending.put(channel, server);
  }

  /** Returns whether the channel belongs to a probe that is not yet answered. */
  boolean isPending(long channel) {
    return pending.containsKey(channel);
  }

  void onOffer(long channel, Offer offer, long nowMs) {
    Vm server = pending.remove(channel);
    if (server == null) {
      return;
    }
    if (offers.isEmpty()) {
      endsAtMs = Math.min(endsAtMs, nowMs + OFFER_COLLECTION_MS);
    }
    offers.add(new HeldOffer(channel, new Candidate(server, offer)));
  }

  void onRefusal(long channel, Refused refusal) {
    if (pending.remove(channel) != null) {
      refusals.add(refusal);
    }
  }

  /** Removes a closed channel; an offer that was received on it can no longer be used. */
  void onClosed(long channel) {
    pending.remove(channel);
    offers.removeIf(h -> h.channel() == channel);
  }

  /** Returns whether the round is over: all servers have answered or the round has timed out. */
  boolean isOver(long nowMs) {
    return pending.isEmpty() || nowMs >= endsAtMs;
  }

  long endsAtMs() {
    return endsAtMs;
  }

  List<HeldOffer> offers() {
    return offers;
  }

  List<Refused> refusals() {
    return refusals;
  }

  Map<Long, Vm> pending() {
    return pending;
  }

  /** Returns the first offer of a server that already runs the request. */
  Optional<HeldOffer> runningOffer() {
    return offers.stream().filter(h -> h.candidate().offer().runningOffset() >= 0).findFirst();
  }
}
