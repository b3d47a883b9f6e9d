package org.cowslipyoke.http.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import org.cowslipyoke.util.MalformedResponseException;
import org.jspecify.annotations.Nullable;

/** Reads lines of limited length from a stream. */
public final class LineReader {

  private final InputStream in;
  private final int maxBytes;
  private final byte[] buffer = new byte[8192];
  private int position;
  private int limit;

  /** Creates a reader that rejects lines longer than {@code maxBytes} bytes. */
  public LineReader(InputStream in, int maxBytes) {
    this.in = in;
    this.maxBytes = maxBytes;
  }

  /**
   * Returns the next line without its line feed, or null at the end of the stream. An incomplete
   * last line, without a line feed, is dropped.
   *
   * @throws MalformedResponseException if a line is too long
   */
  public byte @Nullable [] next() throws IOException, MalformedResponseException {
    ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    while (true) {
      if (position == limit) {
        limit = in.read(buffer);
        position = 0;
        if (limit <= 0) {
          limit = 0;
          return null;
        }
      }
      int start = position;
      while (position < limit && buffer[position] != '\n') {
        position++;
      }
      line.write(buffer, start, position - start);
      if (line.size() > maxBytes) {
        throw new MalformedResponseException("line exceeds " + maxBytes + " bytes");
      }
      if (position < limit) {
        position++;
        return line.toByteArray();
      }
    }
  }
}
