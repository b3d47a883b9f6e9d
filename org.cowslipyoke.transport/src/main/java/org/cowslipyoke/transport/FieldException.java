package org.cowslipyoke.transport;

import java.io.IOException;

/** A field that violates the format. Leaves the package only as a failure value. */
final class FieldException extends IOException {

  private static final long serialVersionUID = 1L;

  FieldException(String message) {
    super(message);
  }
}
