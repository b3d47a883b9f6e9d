package org.cowslipyoke.pgm;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** Reads lines of UTF-8 with a bound on their length, so that a file without line ends fits. */
final class BoundedLines implements AutoCloseable {

  /** Longest line, in bytes; a stack trace in a log line stays below it. */
  static final int MAX_BYTES = 256 << 10;

  private static final int CHUNK_BYTES = 64 << 10;

  private final InputStream in;
  private final byte[] chunk = new byte[CHUNK_BYTES];
  private byte[] line = new byte[1024];
  private int at;
  private int filled;

  BoundedLines(InputStream in) {
    this.in = in;
  }

  /** Returns the next line, cut at the bound, or null at the end. */
  @Nullable String next() throws IOException {
    int length = 0;
    boolean any = false;
    while (at < filled || fill()) {
      any = true;
      int end = at;
      while (end < filled && chunk[end] != '\n') {
        end++;
      }
      int taken = Math.min(end - at, MAX_BYTES - length);
      if (length + taken > line.length) {
        line = Arrays.copyOf(line, Math.min(MAX_BYTES, 2 * (length + taken)));
      }
      System.arraycopy(chunk, at, line, length, taken);
      length += taken;
      at = end;
      if (end < filled) {
        at++;
        return new String(line, 0, length, StandardCharsets.UTF_8);
      }
    }
    return any ? new String(line, 0, length, StandardCharsets.UTF_8) : null;
  }

  private boolean fill() throws IOException {
    at = 0;
    filled = Math.max(0, in.read(chunk));
    return filled > 0;
  }

  @Override
  public void close() throws IOException {
    in.close();
  }
}
