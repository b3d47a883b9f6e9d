package org.cowslipyoke.bench;

/** A step of the demonstration or of a load run failed; ends the program with exit code 1. */
final class BenchException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  BenchException(String message) {
    super(message);
  }
}
