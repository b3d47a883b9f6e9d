package org.cowslipyoke.daemon.relay;

import java.util.List;
import org.cowslipyoke.ratelimit.RateLimits;
import org.cowslipyoke.refresh.ReportFanout.Peer;
import org.cowslipyoke.transport.RateReportCodec;
import org.cowslipyoke.util.MalformedResponseException;

/** Exchanges the rates that servers have named and the permits for requests to them. */
public final class RateReports implements PeerReportChannel {

  private final RateLimits limits;

  /** Creates the exchange. */
  public RateReports(RateLimits limits) {
    this.limits = limits;
  }

  @Override
  public boolean isReport(byte[] bytes, int length) {
    return RateReportCodec.isReport(bytes, length);
  }

  @Override
  public void accept(byte[] bytes, int length) throws MalformedResponseException {
    limits.accept(RateReportCodec.decode(bytes, length));
  }

  @Override
  public void setMembers(List<Peer> members) {
    limits.setMembers(members.stream().map(Peer::vm).toList());
  }

  @Override
  public List<byte[]> takeDue() {
    return limits.takeDueToAll().stream().map(RateReportCodec::encode).toList();
  }

  @Override
  public List<Addressed> takeAddressed() {
    return limits.takeDue().stream()
        .map(a -> new Addressed(a.vm(), RateReportCodec.encode(a.report())))
        .toList();
  }
}
