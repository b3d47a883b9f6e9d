package org.cowslipyoke.pgm;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** Reads UTF-8 lines of bounded length, so that memory stays bounded without line breaks, too. */
final class BoundedLineReader implements AutoCloseable {

  /** Maximum line length in bytes; a log line with a stack trace is shorter. */
  static final int MAX_BYTES = 256 << 10;

  private static final int CHUNK_BYTES = 64 << 10;

  private final InputStream in;
  private final byte[] chunk = new byte[CHUNK_BYTES];
  private byte[] line = new byte[1024];
  private int position;
  private int limit;

  BoundedLineReader(InputStream in) {
    this.in = in;
  }

  /** Returns the next line, truncated to the maximum length, or null at the end of the input. */
  @Nullable String readLine() throws IOException {
    int length = 0;
    boolean hasLine = false;
    while (position < limit || fillChunk()) {
      hasLine = true;
      int end = position;
      while (end < limit && chunk[end] != '\n') {
        end++;
      }
      int copied = Math.min(end - position, MAX_BYTES - length);
      if (length + copied > line.length) {
        line = Arrays.copyOf(line, Math.min(MAX_BYTES, 2 * (length + copied)));
      }
      System.arraycopy(chunk, position, line, length, copied);
      length += copied;
      position = end;
      if (end < limit) {
        position++;
        return new String(line, 0, length, StandardCharsets.UTF_8);
      }
    }
    return hasLine ? new String(line, 0, length, StandardCharsets.UTF_8) : null;
  }

  private boolean fillChunk() throws IOException {
    position = 0;
    limit = Math.max(0, in.read(chunk));
    return limit > 0;
  }

  @Override
  public void close() throws IOException {
    in.close();
  }
}
