package org.cowslipyoke.refresh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import org.cowslipyoke.refresh.ReportFanout.Peer;
import org.cowslipyoke.refresh.ReportFanout.Plan;
import org.cowslipyoke.refresh.ReportFanout.Relayed;
import org.junit.jupiter.api.Test;

/** Counts the datagrams of reports in simulated time. */
class ReportFanoutTest {

  private static final long SEED = 20_261_206;
  private static final int REPORT_BYTES = 150;
  private static final int HEADER_BYTES = 28;
  private static final int RELAY_BYTES = 7;
  private static final long REPORT_MS = 100;
  private static final long EXPIRE_MS = 50;

  /** Interval of complete reports, the longest that a lost relay may cost. */
  private static final long COMPLETE_MS = 700;

  /** Age of loads of other failure domains up to which placement may use them. */
  private static final long MAX_AGE_MS = 100;

  private record Event(long atMs, long order, Runnable action) {}

  /** Entries that send reports at the same interval. */
  private static final class Fleet {
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparing(Event::atMs).thenComparing(Event::order));
    private final Random random = new Random(SEED);
    private final List<Peer> members = new ArrayList<>();
    private final Map<InetSocketAddress, Integer> index = new HashMap<>();
    private final List<ReportFanout> fanouts = new ArrayList<>();
    private final Set<Integer> dead = new HashSet<>();
    private final Set<Integer> earlier = new HashSet<>();
    private final long[][] sentMs;
    private final double lossFraction;
    private long nowMs;
    private long order;
    private long datagrams;
    private long crossing;
    private long crossingBytes;
    private long oldestMs;
    private long worstDelayMs;

    Fleet(int entries, int domains, double lossFraction) {
      this.lossFraction = lossFraction;
      this.sentMs = new long[entries][entries];
      for (int i = 0; i < entries; i++) {
        InetSocketAddress a =
            InetSocketAddress.createUnresolved("10.0." + i / 250 + "." + i % 250, 80);
        members.add(new Peer("e" + i, "d" + i % domains, a));
        index.put(a, i);
      }
      for (int i = 0; i < entries; i++) {
        ReportFanout f = new ReportFanout("e" + i);
        Peer self = members.get(i);
        f.setPeers(self.failureDomain(), members.stream().filter(p -> !p.equals(self)).toList());
        fanouts.add(f);
        int entry = i;
        at(random.nextInt((int) REPORT_MS), () -> report(entry, REPORT_MS));
        at(random.nextInt((int) EXPIRE_MS), () -> expire(entry));
      }
    }

    void at(long inMs, Runnable action) {
      events.add(new Event(nowMs + inMs, order++, action));
    }

    void run(long untilMs) {
      while (!events.isEmpty() && events.element().atMs() < untilMs) {
        Event e = events.remove();
        nowMs = e.atMs();
        e.action().run();
      }
      nowMs = untilMs;
    }

    void count() {
      datagrams = 0;
      crossing = 0;
      crossingBytes = 0;
      oldestMs = 0;
      worstDelayMs = 0;
    }

    private void report(int from, long againMs) {
      if (againMs > 0) {
        at(againMs, () -> report(from, againMs));
      }
      if (dead.contains(from)) {
        return;
      }
      Plan plan = fanouts.get(from).plan(nowMs, true);
      long sent = nowMs;
      plan.direct().forEach(a -> send(from, a, REPORT_BYTES, to -> received(from, to, sent)));
      for (Relayed r : plan.relayed()) {
        send(from, r.address(), REPORT_BYTES + RELAY_BYTES, to -> relay(from, to, sent, r.token()));
      }
    }

    private void expire(int entry) {
      at(EXPIRE_MS, () -> expire(entry));
      if (!dead.contains(entry) && fanouts.get(entry).expire(nowMs)) {
        report(entry, 0);
      }
    }

    private void relay(int from, int relay, long sent, int token) {
      if (earlier.contains(relay)) {
        return;
      }
      received(from, relay, sent);
      for (InetSocketAddress a : fanouts.get(relay).ownDomain()) {
        send(relay, a, REPORT_BYTES, to -> received(from, to, sent));
      }
      if (token != 0) {
        send(relay, members.get(from).address(), RELAY_BYTES, to -> fanouts.get(to).confirm(token));
      }
    }

    private void send(int from, InetSocketAddress to, int bytes, IntConsumer arrive) {
      int target = index.getOrDefault(to, -1);
      datagrams++;
      if (!members.get(from).failureDomain().equals(members.get(target).failureDomain())) {
        crossing++;
        crossingBytes += bytes + HEADER_BYTES;
      }
      if (random.nextDouble() >= lossFraction) {
        at(
            1,
            () -> {
              if (!dead.contains(target)) {
                arrive.accept(target);
              }
            });
      }
    }

    /** Returns the age of the oldest report that a live entry has of another one now. */
    long oldestNowMs() {
      long oldest = 0;
      for (int to = 0; to < sentMs.length; to++) {
        for (int from = 0; from < sentMs.length; from++) {
          boolean live = to != from && !dead.contains(to) && !dead.contains(from);
          oldest = live ? Math.max(oldest, nowMs - sentMs[to][from]) : oldest;
        }
      }
      return oldest;
    }

    private void received(int from, int to, long sent) {
      oldestMs = Math.max(oldestMs, nowMs - sentMs[to][from]);
      worstDelayMs = Math.max(worstDelayMs, nowMs - sent);
      sentMs[to][from] = Math.max(sentMs[to][from], sent);
    }
  }

  private static Fleet settled(int entries, int domains) {
    Fleet f = new Fleet(entries, domains, 0);
    f.run(500);
    f.count();
    f.run(500 + REPORT_MS);
    return f;
  }

  /** Guards against reports that cross to each entry of another failure domain. */
  @Test
  void reportCrossesOnceToEachFailureDomain() {
    int[][] fleets = {{29, 4}, {75, 4}, {400, 26}};
    for (int[] shape : fleets) {
      int entries = shape[0];
      int domains = shape[1];
      Fleet f = settled(entries, domains);
      long once = (long) entries * (domains - 1);
      // Each report asks for a confirmation that crosses back.
      assertEquals(2 * once, f.crossing, entries + " entries");
      long bytes = REPORT_BYTES + RELAY_BYTES + HEADER_BYTES + RELAY_BYTES + HEADER_BYTES;
      assertEquals(once * bytes, f.crossingBytes, entries + " entries");
      long before = 0;
      for (Peer p : f.members) {
        before +=
            f.members.stream().filter(q -> !q.failureDomain().equals(p.failureDomain())).count();
      }
      assertTrue(
          f.crossingBytes <= before * (REPORT_BYTES + HEADER_BYTES) / 5.0,
          entries + " entries: " + f.crossingBytes + " bytes");
      assertEquals((long) entries * (entries - 1) + once, f.datagrams, entries + " entries");
      assertTrue(f.worstDelayMs <= MAX_AGE_MS, entries + " entries: " + f.worstDelayMs + " ms");
    }
  }

  /** Guards against entries that hear nothing of others after the entry that relayed has ended. */
  @Test
  void lostRelayCostsLessThanCompleteReportInterval() {
    for (int[] shape : new int[][] {{29, 4}, {75, 4}}) {
      Fleet f = new Fleet(shape[0], shape[1], 0);
      f.run(1_000);
      f.count();
      f.dead.add(4);
      f.dead.add(5);
      f.run(4_000);
      assertTrue(f.oldestMs <= COMPLETE_MS, f.oldestMs + " ms without a report");
      assertTrue(f.oldestNowMs() <= 2 * REPORT_MS, f.oldestNowMs() + " ms without a report");
      f.count();
      f.run(4_000 + REPORT_MS);
      long live = shape[0] - 2L;
      assertEquals(2 * live * (shape[1] - 1L), f.crossing);
    }
  }

  /** Guards against relying on a relay over a link that loses datagrams. */
  @Test
  void lossOfDatagramsIsBorne() {
    Fleet f = new Fleet(29, 4, 0.05);
    f.run(1_000);
    f.count();
    f.run(11_000);
    assertTrue(f.oldestMs <= 2 * COMPLETE_MS, f.oldestMs + " ms, seed " + SEED);
  }

  /** Guards against lost reports while entries of an earlier build are in the fleet. */
  @Test
  void entriesThatDoNotRelayGetReportsDirectly() {
    Fleet f = new Fleet(29, 4, 0);
    for (int i = 0; i < 29; i++) {
      f.earlier.add(i);
    }
    f.run(500);
    f.count();
    f.run(3_000);
    assertTrue(f.oldestMs <= REPORT_MS + 1, f.oldestMs + " ms without a report");
  }

  /** Guards against a relay that is asked although its failure domain has no other entry. */
  @Test
  void singleEntryAndUnknownDomainsGetReportsDirectly() {
    ReportFanout f = new ReportFanout("a");
    InetSocketAddress b = InetSocketAddress.createUnresolved("b", 1);
    InetSocketAddress c = InetSocketAddress.createUnresolved("c", 1);
    InetSocketAddress d = InetSocketAddress.createUnresolved("d", 1);
    f.setPeers("d1", List.of(new Peer("b", "d2", b), new Peer("c", "", c), new Peer("d", "", d)));
    Plan p = f.plan(0, true);
    assertEquals(Set.of(b, c, d), Set.copyOf(p.direct()));
    assertEquals(List.of(), p.relayed());
  }
}
