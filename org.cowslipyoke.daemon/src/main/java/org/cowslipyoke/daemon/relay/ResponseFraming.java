package org.cowslipyoke.daemon.relay;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** How the end of a server's response is marked. */
enum ResponseFraming {
  /** A Content-Length header. */
  LENGTH,
  /** The last chunk. */
  CHUNKED,
  /** The end of the connection; a reset does not count as the end. */
  CONNECTION;

  static ResponseFraming of(HttpFields headers) {
    if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
      return CHUNKED;
    }
    return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION;
  }
}
