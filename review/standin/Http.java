package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

  /** The first line and the headers of a message; names of headers in lower case. */
  record Head(String line, Map<String, String> headers) {

    String word(int i) {
      return line.split(" ", 3)[i];
    }

    int status() {
      return Integer.parseInt(word(1));
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  private Http() {}

  /** Reads a head; returns null if the stream ends before its first byte. */
  static Head head(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      if (colon < 0) {
        throw new IOException("no header: " + l);
      }
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
    }
    return new Head(first, headers);
  }

  /** Reads the body that a head announces; a response without a length ends with the stream. */
  static byte[] body(InputStream in, Head h, boolean response) throws IOException {
    if (h.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (byte[] c = chunk(in); c.length > 0; c = chunk(in)) {
        all.write(c);
      }
      return all.toByteArray();
    }
    if (h.header("Content-Length").isEmpty()) {
      return response ? in.readAllBytes() : new byte[0];
    }
    return exactly(in, Integer.parseInt(h.header("Content-Length")));
  }

  /** Reads one chunk, empty for the last one. */
  static byte[] chunk(InputStream in) throws IOException {
    String size = line(in);
    if (size == null) {
      throw new EOFException("ended before the last chunk");
    }
    byte[] c = exactly(in, Integer.parseInt(size.split(";")[0].trim(), 16));
    line(in);
    return c;
  }

  static byte[] exactly(InputStream in, int n) throws IOException {
    byte[] b = in.readNBytes(n);
    if (b.length < n) {
      throw new EOFException("ended after " + b.length + " of " + n + " bytes");
    }
    return b;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        if (b.size() == 0) {
          return null;
        }
        throw new EOFException("ended within a line");
      }
      if (c != '\r') {
        b.write(c);
      }
    }
    return b.toString(StandardCharsets.ISO_8859_1);
  }
}
