package org.cowslipyoke.standin;

import java.nio.ByteBuffer;
import org.cowslipyoke.util.Digests;

/**
 * Text that every engine stand-in generates for a prompt. It depends only on the bytes of the
 * prompt and the index of the token, so it is the same on every server. A caller that knows the
 * rendered prompt can verify an answer, even one that was continued on another server.
 */
public final class AnswerText {

  /** Minimum number of tokens of an answer that is not limited by the request. */
  public static final int MIN_TOKENS = 64;

  /** Number of different lengths of such answers, from {@link #MIN_TOKENS} upwards. */
  public static final int SPREAD_TOKENS = 256;

  private static final String[] WORDS = {
    " the",
    " stall",
    " is",
    " free",
    " at",
    " noon",
    " and",
    " your",
    " box",
    " leaves",
    " on",
    " Monday",
    " paddock",
    " two",
    " has",
    " room",
    " for",
    " one",
    " horse",
    " farrier",
    " visits",
    " after",
    " lunch",
    " sleep",
    " draft",
    " order",
    " paused",
    " until",
    " spring",
    " arena",
    " opens",
    " ção"
  };

  private final long seed;

  private AnswerText(long seed) {
    this.seed = seed;
  }

  /** Returns the answer to a rendered prompt. */
  public static AnswerText of(byte[] prompt) {
    return new AnswerText(ByteBuffer.wrap(Digests.sha256(prompt)).getLong());
  }

  /** Returns one token by its index from the start of the whole answer. */
  public String piece(long index) {
    long z = seed + 0x9e3779b97f4a7c15L * (index + 1);
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return WORDS[(int) (z >>> 59)];
  }

  /** Returns the number of tokens of the whole answer, at most {@code maxTokens}. */
  public long length(int maxTokens) {
    long natural = MIN_TOKENS + Long.remainderUnsigned(seed, SPREAD_TOKENS);
    return Math.min(natural, maxTokens);
  }

  /**
   * Returns {@code length} if the answer is cut off at {@code maxTokens}, otherwise {@code stop}.
   */
  public String finishReason(int maxTokens) {
    return length(maxTokens) < length(Integer.MAX_VALUE) ? "length" : "stop";
  }

  /** Returns the tokens from {@code from} (inclusive) to {@code to} (exclusive) as one text. */
  public String text(long from, long to) {
    StringBuilder b = new StringBuilder();
    for (long i = from; i < to; i++) {
      b.append(piece(i));
    }
    return b.toString();
  }
}
