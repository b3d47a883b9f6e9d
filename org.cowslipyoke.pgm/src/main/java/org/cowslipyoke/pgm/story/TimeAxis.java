package org.cowslipyoke.pgm.story;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** The times by which the lines of several VMs are put in order. */
public enum TimeAxis {
  /** The clocks of the VMs, which may differ. */
  CLOCKS {
    @Override
    long of(LogLine line) {
      return line.wallMs();
    }

    @Override
    public String format(long ms) {
      return CLOCK.format(Instant.ofEpochMilli(ms));
    }
  },

  /** The times before the JSON, which one process wrote. */
  PREFIX {
    @Override
    long of(LogLine line) {
      return line.prefixMs();
    }

    @Override
    public String format(long ms) {
      return String.format(Locale.ROOT, "%.3f", ms / 1_000.0);
    }
  };

  private static final DateTimeFormatter CLOCK =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSS", Locale.ROOT).withZone(ZoneOffset.UTC);

  abstract long of(LogLine line);

  /** Returns a time as people read it. */
  public abstract String format(long ms);
}
