package org.cowslipyoke.util;

/** Source of time in milliseconds. All waiting and expiry in the system uses this type. */
public interface Clock {

  /** Returns monotonic time in milliseconds; the origin is arbitrary. */
  long nowMs();

  /** Returns milliseconds since the Unix epoch; may jump forwards or backwards. */
  long wallMs();

  /** Returns the system clock. */
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
