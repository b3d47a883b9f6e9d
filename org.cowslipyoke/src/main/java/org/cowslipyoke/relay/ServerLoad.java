package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.util.Clock;

/**
 * Work that this process has at one incarnation of a server, and the trouble it had with it lately.
 */
public final class ServerLoad {

  /** Time in which the memory of a trouble halves, in milliseconds. */
  static final double TROUBLE_HALF_LIFE_MS = 2_000;

  /** Time for which a server that refused for lack of room is passed over, in milliseconds. */
  static final long FULL_MS = 250;

  /**
   * Time for which a server that loads weights is passed over, in milliseconds; its state is asked
   * for at shorter intervals while weights are to be replaced.
   */
  static final long LOADING_MS = 700;

  private final Clock clock;
  private int weights;
  private int inFlight;
  private long unreadTokens;
  private long residentTokens;
  private final Map<CacheContents.Key, Integer> users = new HashMap<>();
  private double trouble;
  private long troubleMs;
  private long fullUntilMs;
  private long loadingUntilMs;
  private double responseMs;

  ServerLoad(Clock clock) {
    this.clock = clock;
    this.troubleMs = clock.nowMs();
    this.fullUntilMs = clock.nowMs();
    this.loadingUntilMs = clock.nowMs();
  }

  /** Records that a request is handed to the server. */
  public synchronized void begin(PromptWork work) {
    residentTokens += addedTokens(work);
    inFlight++;
    unreadTokens += work.unreadTokens();
    for (PromptWork.Shared s : work.shared()) {
      users.merge(s.key(), 1, Integer::sum);
    }
  }

  /** Returns the tokens that a request would add to the server's memory. */
  synchronized long addedTokens(PromptWork work) {
    long added = work.ownTokens();
    for (PromptWork.Shared s : work.shared()) {
      added += users.containsKey(s.key()) ? 0 : s.tokens();
    }
    return added;
  }

  /** Records that the server began to answer, after it read the prompt. */
  public synchronized void promptRead(PromptWork work) {
    unreadTokens = Math.max(0, unreadTokens - work.unreadTokens());
  }

  /** Records the end of a request. */
  public synchronized void end(PromptWork work) {
    inFlight = Math.max(0, inFlight - 1);
    long freed = work.ownTokens();
    for (PromptWork.Shared s : work.shared()) {
      Integer left = users.computeIfPresent(s.key(), (k, n) -> n > 1 ? n - 1 : null);
      freed += left == null ? s.tokens() : 0;
    }
    residentTokens = Math.max(0, residentTokens - freed);
  }

  /** Records the time of an answer. */
  public synchronized void recordResponse(long ms) {
    responseMs = responseMs == 0 ? ms : responseMs * 0.8 + ms * 0.2;
  }

  /** Records a broken or failed answer. */
  public synchronized void trouble(double weight) {
    trouble = decayed() + weight;
    troubleMs = clock.nowMs();
  }

  /**
   * Records that the server refused a request.
   *
   * @param recordLoading whether it has weights that are to be replaced, so that it probably loads
   *     others
   */
  public synchronized void refused(boolean loading) {
    if (loading) {
      recordLoading();
    }
    fullUntilMs = clock.nowMs() + FULL_MS;
  }

  /** Records that the server carries out an order and begins no request meanwhile. */
  public synchronized void recordLoading() {
    loadingUntilMs = clock.nowMs() + LOADING_MS;
  }

  /** Returns whether the server carried out an order a moment ago. */
  public synchronized boolean isLoading() {
    return clock.nowMs() < loadingUntilMs;
  }

  /** Records the version of the weights that the server stated. */
  public synchronized void recordWeights(int version) {
    if (version > weights) {
      weights = version;
      loadingUntilMs = clock.nowMs();
    }
  }

  /** Returns the newest version of the weights that the server stated in an answer, 0 if none. */
  public synchronized int reportedWeights() {
    return weights;
  }

  /** Returns whether the server refused for lack of room a moment ago. */
  public synchronized boolean isFull() {
    return clock.nowMs() < fullUntilMs;
  }

  /** Returns the work of this process at the server. */
  synchronized Load snapshot() {
    return new Load(inFlight, unreadTokens, residentTokens);
  }

  /** Returns the requests in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns the prompt tokens that the server still has to read for this process. */
  public synchronized long unreadTokens() {
    return unreadTokens;
  }

  /** Returns the tokens that the requests of this process keep in the server's memory. */
  public synchronized long residentTokens() {
    return residentTokens;
  }

  /** Returns the recent troubles; each one counts 1 at first and half after each half-life. */
  public synchronized double recentTrouble() {
    return decayed();
  }

  /** Returns the smoothed time of an answer in milliseconds, 0 if there was none. */
  public synchronized double responseMs() {
    return responseMs;
  }

  private double decayed() {
    return trouble * Math.pow(0.5, (clock.nowMs() - troubleMs) / TROUBLE_HALF_LIFE_MS);
  }
}
