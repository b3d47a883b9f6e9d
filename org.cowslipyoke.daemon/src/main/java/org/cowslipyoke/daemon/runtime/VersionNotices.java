package org.cowslipyoke.daemon.runtime;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Notice;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;
import org.cowslipyoke.transport.StreamOpener;

/** Tells peers of versions that have increased; a peer that needs the document pulls it. */
final class VersionNotices {

  private final List<Replica> replicas;
  private final PeerDirectory peers;
  private final ExchangeStats stats;
  private final Map<String, Long> notifiedVersions = new ConcurrentHashMap<>();

  VersionNotices(List<Replica> replicas, PeerDirectory peers, ExchangeStats stats) {
    this.replicas = replicas;
    this.peers = peers;
    this.stats = stats;
  }

  /** Returns whether a version has increased since the last call. */
  boolean hasGrown() {
    boolean grown = false;
    for (Replica r : replicas) {
      long version = r.version();
      Long before = notifiedVersions.put(r.name(), version);
      grown |= version > (before == null ? 0 : before);
    }
    return grown;
  }

  /** Sends notices to the assigned servers and some entries; blocks. */
  void send(StreamOpener opener) {
    peers.refresh();
    peers.assignedServers().forEach(t -> send(opener, t));
    peers.randomEntries(DocumentExchange.NOTIFIED_ENTRIES).forEach(t -> send(opener, t));
  }

  private void send(StreamOpener opener, Vm target) {
    MessageStream stream = opener.open(target.host(), target.port(), new IgnoringHandler());
    if (stream.send(new Notice())) {
      stats.noticesSent.increment();
    }
    stream.close();
  }

  /**
   * Handler of a notice. A notice has no response, and a peer that is unreachable learns the
   * version from other processes.
   */
  private static final class IgnoringHandler implements StreamHandler {

    @Override
    public void onMessage(MessageStream stream, Message message) {}

    @Override
    public void onClosed(MessageStream stream, Failure failure) {}
  }
}
