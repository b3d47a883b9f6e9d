package org.cowslipyoke.daemon.relay;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** What marks the end of a server's answer. */
enum ResponseFraming {
  /** The stated number of bytes. */
  LENGTH,
  /** The last chunk. */
  CHUNKED,
  /** The end of the connection, which must not be a reset. */
  CONNECTION;

  static ResponseFraming of(HttpFields headers) {
    if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
      return CHUNKED;
    }
    return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION;
  }
}
