package org.cowslipyoke.daemon.relay;

import java.util.List;
import org.cowslipyoke.refresh.ReportFanout.Peer;
import org.cowslipyoke.util.MalformedResponseException;

/** A kind of report that entries exchange as datagrams, told apart by its first bytes. */
public interface PeerReportChannel {

  /**
   * A report to a single entry.
   *
   * @param vm VM of the receiver
   */
  record Addressed(String vm, byte[] bytes) {}

  /** Returns whether a datagram is a report of this kind. */
  boolean isReport(byte[] bytes, int length);

  /**
   * Applies a report of another entry.
   *
   * @throws MalformedResponseException if it can't be decoded
   */
  void accept(byte[] bytes, int length) throws MalformedResponseException;

  /**
   * Returns the reports that are due to all other entries, each at most {@code
   * LoadReportCodec.MAX_BYTES} long; called each {@link PeerReportExchange#SUSPECT_INTERVAL_MS}.
   */
  List<byte[]> takeDue();

  /** Returns the reports that are due to single entries; called at the same interval. */
  default List<Addressed> takeAddressed() {
    return List.of();
  }

  /** Replaces the other live entries. */
  default void setMembers(List<Peer> members) {}
}
