package org.cowslipyoke.http.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import org.cowslipyoke.util.MalformedResponseException;
import org.jspecify.annotations.Nullable;

/** Reads lines of bounded length from a stream. */
public final class LineReader {

  private final InputStream in;
  private final int maxBytes;
  private final byte[] buffer = new byte[8192];
  private int at;
  private int end;

  /** Creates a reader that refuses lines above {@code maxBytes}. */
  public LineReader(InputStream in, int maxBytes) {
    this.in = in;
    this.maxBytes = maxBytes;
  }

  /**
   * Returns the next line without its end, null at the end of the stream. A last line without a
   * newline is incomplete and is dropped.
   *
   * @throws MalformedResponseException if a line is too long
   */
  public byte @Nullable [] next() throws IOException, MalformedResponseException {
    ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    while (true) {
      if (at == end) {
        end = in.read(buffer);
        at = 0;
        if (end <= 0) {
          end = 0;
          return null;
        }
      }
      int from = at;
      while (at < end && buffer[at] != '\n') {
        at++;
      }
      line.write(buffer, from, at - from);
      if (line.size() > maxBytes) {
        throw new MalformedResponseException("line exceeds " + maxBytes + " bytes");
      }
      if (at < end) {
        at++;
        return line.toByteArray();
      }
    }
  }
}
