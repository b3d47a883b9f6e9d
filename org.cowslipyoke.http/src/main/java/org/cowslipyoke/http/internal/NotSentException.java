package org.cowslipyoke.http.internal;

import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** A connection could not be used; no byte of the request left. */
public final class NotSentException extends IOException {

  private static final long serialVersionUID = 1L;

  NotSentException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
