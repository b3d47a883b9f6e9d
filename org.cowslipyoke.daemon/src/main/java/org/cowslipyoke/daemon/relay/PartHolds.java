package org.cowslipyoke.daemon.relay;

import java.util.Collection;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.suspect.PartSuspects.Hold;
import org.cowslipyoke.util.Clock;

/** Logs which prompt parts are held back. */
final class PartHolds {

  private static final Logger LOG = LogManager.getLogger(PartHolds.class);

  private PartHolds() {}

  /** Logs the holds in force after a change; an empty list means that there is none any more. */
  static void logChange(List<Hold> holds, Clock clock) {
    LOG.info(
        "suspect parts held: holds={}",
        holds.stream()
            .map(
                h ->
                    "{parts="
                        + hex(h.parts())
                        + " crashes="
                        + h.crashes()
                        + " holdMs="
                        + (h.untilMs() - clock.nowMs())
                        + "}")
            .toList());
  }

  /** Returns fingerprints as they stand in the log, in a fixed order. */
  static List<String> hex(Collection<Long> fingerprints) {
    return fingerprints.stream().sorted().map(Long::toHexString).toList();
  }
}
