package org.cowslipyoke.http;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** How the end of a server's response is marked. */
public enum ResponseFraming {
  /** A Content-Length header. */
  LENGTH,
  /** The last chunk. */
  CHUNKED,
  /** The end of the connection; a reset does not count as the end. */
  CONNECTION;

  /** Returns the framing of a response with the given headers. */
  public static ResponseFraming of(HttpFields headers) {
    if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
      return CHUNKED;
    }
    return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION;
  }
}
