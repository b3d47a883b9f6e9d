package org.cowslipyoke.pgm.story;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Number of bytes received of a response, and the time since the last one in milliseconds. */
record Progress(long bytes, long lastByteAgoMs) {

  /** Shortest pause that counts as a stall; engines pause less between two tokens. */
  static final long MIN_STALL_MS = 1_000;

  private static final Pattern TEXT =
      Pattern.compile("(\\d{1,18}) bytes, the last (\\d{1,18}) ms ago");

  static Progress parse(String text) {
    Matcher m = TEXT.matcher(text);
    return m.matches()
        ? new Progress(Long.parseLong(m.group(1)), Long.parseLong(m.group(2)))
        : new Progress(0, 0);
  }
}
