package org.cowslipyoke.util;

/** Time in milliseconds. All waiting and expiry in the system goes through this type. */
public interface Clock {

  /** Returns monotonic time in milliseconds; the origin is arbitrary. */
  long nowMs();

  /** Returns milliseconds since the Unix epoch; may jump. */
  long wallMs();

  /** Returns the clock of the machine. */
  static Clock system() {
    return new Clock() {
      @Override
      public long nowMs() {
        return System.nanoTime() / 1_000_000;
      }

      @Override
      public long wallMs() {
        return System.currentTimeMillis();
      }
    };
  }
}
