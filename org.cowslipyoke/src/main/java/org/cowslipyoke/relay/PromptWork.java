package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.relay.Prompt.Part;

/**
 * Work that a request brings to an engine.
 *
 * @param unreadTokens prompt tokens that the engine has to read itself
 * @param ownTokens tokens in the engine's memory that the request shares with no other one
 * @param shared parts in the engine's memory that running requests share
 */
public record PromptWork(long unreadTokens, long ownTokens, List<Shared> shared) {

  /** Work of a request without a prompt. */
  public static final PromptWork NONE = new PromptWork(0, 0, List.of());

  /** A part that is in memory once for all running requests that have it. */
  public record Shared(CacheContents.Key key, int tokens) {}

  /** Returns the work of a prompt under a salt; its last part belongs to the request alone. */
  static PromptWork of(Prompt p, String salt, int unreadTokens) {
    List<Shared> shared = new ArrayList<>();
    int sharedTokens = 0;
    for (int i = 0; i < p.parts().size() - 1; i++) {
      Part part = p.parts().get(i);
      shared.add(new Shared(new CacheContents.Key(salt, part.id()), part.tokens()));
      sharedTokens += part.tokens();
    }
    // The answer grows from nothing, so half of it is there on average.
    long answer = p.expectedAnswerTokens() / 2;
    long own = Math.max(0, p.promptTokens() + answer - sharedTokens);
    return new PromptWork(unreadTokens, own, List.copyOf(shared));
  }
}
