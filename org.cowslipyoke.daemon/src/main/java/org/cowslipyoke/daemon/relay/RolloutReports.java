package org.cowslipyoke.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.rollout.EntryRollouts;
import org.cowslipyoke.rollout.RolloutReport;
import org.cowslipyoke.transport.LoadReportCodec;
import org.cowslipyoke.transport.RolloutReportCodec;
import org.cowslipyoke.util.MalformedResponseException;

/** Exchange of {@link RolloutReport}s between entries. */
public final class RolloutReports implements PeerReportChannel {

  private final EntryRollouts rollouts;

  /** Creates the exchange for an entry's part in the rollouts. */
  public RolloutReports(EntryRollouts rollouts) {
    this.rollouts = rollouts;
  }

  @Override
  public boolean isReport(byte[] bytes, int length) {
    return RolloutReportCodec.isReport(bytes, length);
  }

  @Override
  public void accept(byte[] bytes, int length) throws MalformedResponseException {
    rollouts.accept(RolloutReportCodec.decode(bytes, length));
  }

  @Override
  public List<byte[]> takeDue() {
    List<byte[]> due = new ArrayList<>();
    rollouts
        .nextReport()
        .ifPresent(r -> split(r).forEach(x -> due.add(RolloutReportCodec.encode(x))));
    due.removeIf(bytes -> bytes.length > LoadReportCodec.MAX_BYTES);
    return due;
  }

  /** Returns one report for each service, because a datagram holds the tallies of one. */
  private static List<RolloutReport> split(RolloutReport r) {
    if (r.services().size() <= 1) {
      return List.of(r);
    }
    return r.services().stream()
        .map(
            s ->
                new RolloutReport(
                    r.vm(),
                    r.startedMs(),
                    r.sequence(),
                    r.tableVersion(),
                    r.asOfMs(),
                    r.owner(),
                    List.of(s)))
        .toList();
  }
}
