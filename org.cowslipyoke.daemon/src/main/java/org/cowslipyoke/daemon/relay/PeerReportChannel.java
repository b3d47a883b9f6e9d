package org.cowslipyoke.daemon.relay;

import java.util.List;
import org.cowslipyoke.util.MalformedResponseException;

/** A kind of report that entries exchange as datagrams, told apart by its first bytes. */
public interface PeerReportChannel {

  /** Returns whether a datagram is a report of this kind. */
  boolean isReport(byte[] bytes, int length);

  /**
   * Applies a report of another entry.
   *
   * @throws MalformedResponseException if it can't be decoded
   */
  void accept(byte[] bytes, int length) throws MalformedResponseException;

  /**
   * Returns the reports that are due, each at most {@code LoadReportCodec.MAX_BYTES} long; called
   * each {@link PeerReportExchange#SUSPECT_INTERVAL_MS}.
   */
  List<byte[]> takeDue();
}
