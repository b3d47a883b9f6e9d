package org.cowslipyoke.http.internal;

import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Thrown if a pooled connection is unusable, before any byte of the request was sent. */
public final class NotSentException extends IOException {

  private static final long serialVersionUID = 1L;

  NotSentException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
