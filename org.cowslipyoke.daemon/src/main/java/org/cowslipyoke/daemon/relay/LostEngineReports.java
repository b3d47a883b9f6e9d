package org.cowslipyoke.daemon.relay;

import java.util.List;
import org.cowslipyoke.failover.EngineLiveness;
import org.cowslipyoke.transport.LostEnginesCodec;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.MalformedResponseException;

/** Tells the other entries of the engines that this entry has found lost. */
public final class LostEngineReports implements PeerReportChannel {

  /** Interval at which an unchanged list is repeated, in milliseconds; a datagram may be lost. */
  static final long REPEAT_MS = 250;

  private final Clock clock;
  private final EngineLiveness liveness;
  private List<String> sent = List.of();
  private long sentMs;

  /** Creates the reports of an entry. */
  public LostEngineReports(Clock clock, EngineLiveness liveness) {
    this.clock = clock;
    this.liveness = liveness;
    this.sentMs = clock.nowMs();
  }

  @Override
  public boolean isReport(byte[] bytes, int length) {
    return LostEnginesCodec.isReport(bytes, length);
  }

  @Override
  public void accept(byte[] bytes, int length) throws MalformedResponseException {
    LostEnginesCodec.decode(bytes, length).forEach(liveness::peerFoundLost);
  }

  @Override
  public synchronized List<byte[]> takeDue() {
    List<String> lost = liveness.lostEngines();
    long now = clock.nowMs();
    boolean changed = !lost.equals(sent);
    if (lost.isEmpty() || (!changed && now - sentMs < REPEAT_MS)) {
      sent = lost;
      return List.of();
    }
    sent = lost;
    sentMs = now;
    return List.of(LostEnginesCodec.encode(lost));
  }
}
