package org.cowslipyoke.relay;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.RankLoad;
import org.cowslipyoke.util.Clock;

/** Load that this process puts on one incarnation of a server, and the server's recent failures. */
public final class ServerLoad {

  /** Half-life of the weight of a failure, in milliseconds. */
  static final double FAILURE_HALF_LIFE_MS = 2_000;

  /**
   * Time for which a server counts as full after it refused a request for lack of capacity, in
   * milliseconds.
   */
  static final long FULL_MS = 250;

  /**
   * Time for which a server counts as loading weights, in milliseconds; while weights are being
   * replaced, its state is polled at shorter intervals.
   */
  static final long LOADING_MS = 700;

  /**
   * Number of prompt tokens to prefill from which other entries must learn of a request and of the
   * end of its prefill at once: a prompt that follows it at the same engine would wait for more
   * than a step, and prompts may wait for the engine.
   */
  static final long URGENT_TOKENS = 1_024;

  private final Clock clock;
  private final Consumer<Boolean> onPromptChange;

  /** Newest weights versions that the server reported, by model. */
  private final Map<String, Integer> weights = new HashMap<>();

  private final int[] inFlight = new int[UrgencyRank.COUNT];
  private final long[] prefillTokens = new long[UrgencyRank.COUNT];
  private final long[] residentTokens = new long[UrgencyRank.COUNT];

  /** Number of running requests by rank that have a part in memory. */
  private final Map<CacheContents.Key, int[]> users = new HashMap<>();

  private double failures;
  private long failuresMs;
  private long fullUntilMs;
  private long loadingUntilMs;
  private double responseMs;
  private long prefillEndedMs;
  private long waitingFromMs;

  /**
   * Creates the load of an idle server.
   *
   * @param onPromptChange called after the load by prompts has changed, with whether the change is
   *     urgent
   */
  ServerLoad(Clock clock, Consumer<Boolean> onPromptChange) {
    this.clock = clock;
    this.onPromptChange = onPromptChange;
    this.failuresMs = clock.nowMs();
    this.fullUntilMs = clock.nowMs();
    this.loadingUntilMs = clock.nowMs();
    this.prefillEndedMs = clock.nowMs();
  }

  /** Records the start of a request. */
  public void recordStart(PromptWork work) {
    synchronized (this) {
      waitingFromMs = prefillTokens() == 0 ? clock.nowMs() : waitingFromMs;
      inFlight[work.rank()]++;
      prefillTokens[work.rank()] += work.prefillTokens();
      residentTokens[work.rank()] += work.unsharedTokens();
      for (PromptWork.SharedPart s : work.shared()) {
        countUser(s, work.rank(), 1);
      }
    }
    reportChange(work, work.prefillTokens() >= URGENT_TOKENS);
  }

  private void reportChange(PromptWork work, boolean urgent) {
    if (!work.equals(PromptWork.NONE)) {
      onPromptChange.accept(urgent);
    }
  }

  /** Counts users of a part; its tokens are resident for its most urgent user. */
  private void countUser(PromptWork.SharedPart part, int rank, int change) {
    int[] counts = users.computeIfAbsent(part.key(), k -> new int[UrgencyRank.COUNT]);
    int before = firstUsed(counts);
    counts[rank] = Math.max(0, counts[rank] + change);
    int after = firstUsed(counts);
    if (before != after && before < UrgencyRank.COUNT) {
      residentTokens[before] = Math.max(0, residentTokens[before] - part.tokens());
    }
    if (before != after && after < UrgencyRank.COUNT) {
      residentTokens[after] += part.tokens();
    }
    if (after == UrgencyRank.COUNT) {
      users.remove(part.key());
    }
  }

  private static int firstUsed(int[] counts) {
    int rank = 0;
    while (rank < counts.length && counts[rank] == 0) {
      rank++;
    }
    return rank;
  }

  /** Returns the number of tokens that a request would add to the server's memory. */
  synchronized long addedTokens(PromptWork work) {
    long added = work.unsharedTokens();
    for (PromptWork.SharedPart s : work.shared()) {
      added += users.containsKey(s.key()) ? 0 : s.tokens();
    }
    return added;
  }

  /** Records that the server has prefilled the prompt and started to answer. */
  public void recordPrefillEnd(PromptWork work) {
    synchronized (this) {
      int r = work.rank();
      prefillTokens[r] = Math.max(0, prefillTokens[r] - work.prefillTokens());
      prefillEndedMs = clock.nowMs();
      waitingFromMs = prefillEndedMs;
    }
    reportChange(work, work.prefillTokens() >= URGENT_TOKENS);
  }

  /** Records the end of a request. */
  public void recordEnd(PromptWork work) {
    synchronized (this) {
      int r = work.rank();
      inFlight[r] = Math.max(0, inFlight[r] - 1);
      residentTokens[r] = Math.max(0, residentTokens[r] - work.unsharedTokens());
      for (PromptWork.SharedPart s : work.shared()) {
        countUser(s, r, -1);
      }
    }
    reportChange(work, false);
  }

  /**
   * Records memory that the copy of another server's run takes, or frees if negative. No request
   * preempts it, so it delays prompts of every rank.
   */
  public void recordCopy(long tokens) {
    synchronized (this) {
      int r = UrgencyRank.MOST_URGENT;
      residentTokens[r] = Math.max(0, residentTokens[r] + tokens);
    }
    onPromptChange.accept(false);
  }

  /** Records the duration of an answered request in milliseconds. */
  public synchronized void recordResponse(long ms) {
    responseMs = responseMs == 0 ? ms : responseMs * 0.8 + ms * 0.2;
  }

  /**
   * Records a failed or incomplete response.
   *
   * @param weight number of failures that it counts as
   */
  public synchronized void recordFailure(double weight) {
    failures = decayed() + weight;
    failuresMs = clock.nowMs();
  }

  /**
   * Records that the server refused a request.
   *
   * @param loading whether its weights are outdated, so that it is probably loading new ones
   */
  public synchronized void recordRefusal(boolean loading) {
    if (loading) {
      recordLoading();
    }
    fullUntilMs = clock.nowMs() + FULL_MS;
  }

  /** Records that the server is carrying out an order and accepts no requests meanwhile. */
  public synchronized void recordLoading() {
    loadingUntilMs = clock.nowMs() + LOADING_MS;
  }

  /** Returns whether the server was recently known to carry out an order. */
  public synchronized boolean isLoading() {
    return clock.nowMs() < loadingUntilMs;
  }

  /** Records the weights version of a model that the server reported. */
  public synchronized void recordWeights(String model, int version) {
    if (version > reportedWeights(model)) {
      weights.put(model, version);
      loadingUntilMs = clock.nowMs();
    }
  }

  /** Returns the newest weights version of a model that the server reported, 0 if none. */
  public synchronized int reportedWeights(String model) {
    return weights.getOrDefault(model, 0);
  }

  /** Returns whether the server recently refused a request for lack of capacity. */
  public synchronized boolean isFull() {
    return clock.nowMs() < fullUntilMs;
  }

  /** Returns the current load of the server from this process. */
  public synchronized Load snapshot() {
    RankLoad[] ranks = new RankLoad[UrgencyRank.COUNT];
    for (int r = 0; r < ranks.length; r++) {
      ranks[r] = new RankLoad(inFlight[r], prefillTokens[r], residentTokens[r]);
    }
    return new Load(List.of(ranks));
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return Arrays.stream(inFlight).sum();
  }

  /** Returns the number of prompt tokens that the server still has to prefill for this process. */
  public synchronized long prefillTokens() {
    return Arrays.stream(prefillTokens).sum();
  }

  /** Returns the time since the last end of a prefill in milliseconds. */
  synchronized long sincePrefillEndMs() {
    return clock.nowMs() - prefillEndedMs;
  }

  /**
   * Returns the time for which prompts have waited without an end of a prefill in milliseconds, 0
   * if none waits.
   */
  synchronized long waitingMs() {
    return prefillTokens() == 0 ? 0 : clock.nowMs() - waitingFromMs;
  }

  /**
   * Returns the number of tokens that the requests of this process occupy in the server's memory.
   */
  public synchronized long residentTokens() {
    return Arrays.stream(residentTokens).sum();
  }

  /**
   * Returns the weighted number of recent failures; the weight of each halves with every {@link
   * #FAILURE_HALF_LIFE_MS}.
   */
  public synchronized double recentFailures() {
    return decayed();
  }

  /**
   * Returns the moving average of the duration of answered requests in milliseconds, 0 if there was
   * none.
   */
  public synchronized double responseMs() {
    return responseMs;
  }

  private double decayed() {
    return failures * Math.pow(0.5, (clock.nowMs() - failuresMs) / FAILURE_HALF_LIFE_MS);
  }
}
