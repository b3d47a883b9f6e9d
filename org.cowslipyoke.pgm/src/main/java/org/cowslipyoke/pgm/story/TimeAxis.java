package org.cowslipyoke.pgm.story;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Kind of timestamp by which the lines of several VMs are ordered. */
public enum TimeAxis {
  /** Timestamps from the clocks of the VMs, which may differ. */
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

  /** Timestamps before the JSON, which one process wrote for all VMs. */
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

  /** Formats a time for display. */
  public abstract String format(long ms);
}
