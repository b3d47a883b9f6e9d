package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.relay.Prompt.Part;

/**
 * Work that a request adds to an engine.
 *
 * @param rank {@link UrgencyRank} of the request
 * @param prefillTokens prompt tokens that the engine has to prefill
 * @param unsharedTokens tokens in the engine's memory that the request shares with no other request
 * @param shared parts in the engine's memory that running requests share
 */
public record PromptWork(
    int rank, long prefillTokens, long unsharedTokens, List<SharedPart> shared) {

  /** Work of a request without a prompt. */
  public static final PromptWork NONE = new PromptWork(0, 0, List.of());

  /** Creates work of unknown urgency. */
  public PromptWork(long prefillTokens, long unsharedTokens, List<SharedPart> shared) {
    this(UrgencyRank.MOST_URGENT, prefillTokens, unsharedTokens, shared);
  }

  /** A part that is in memory once for all running requests that have it. */
  public record SharedPart(CacheContents.Key key, int tokens) {}

  /** Returns the work of a prompt of unknown urgency. */
  static PromptWork of(Prompt p, String salt, int unreadTokens) {
    return of(UrgencyRank.MOST_URGENT, p, salt, unreadTokens);
  }

  /** Returns the work of a prompt with a cache salt; the last part is unique to the request. */
  static PromptWork of(int rank, Prompt p, String salt, int unreadTokens) {
    List<SharedPart> shared = new ArrayList<>();
    int sharedTokens = 0;
    for (int i = 0; i < p.parts().size() - 1; i++) {
      Part part = p.parts().get(i);
      shared.add(new SharedPart(new CacheContents.Key(salt, part.id()), part.tokens()));
      sharedTokens += part.tokens();
    }
    // The response grows while the request runs; on average half of it is in memory.
    long answer = p.expectedAnswerTokens() / 2;
    long own = Math.max(0, p.promptTokens() + answer - sharedTokens);
    return new PromptWork(rank, unreadTokens, own, List.copyOf(shared));
  }
}
