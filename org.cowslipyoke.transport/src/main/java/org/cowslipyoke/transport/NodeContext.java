package org.cowslipyoke.transport;

import java.util.Map;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.util.Clock;

/**
 * What the connections of a node share.
 *
 * @param pool connections that this node made, by peer address
 */
record NodeContext(
    Hello hello,
    DocumentVersions versions,
    VersionListener versionListener,
    Clock clock,
    StreamAcceptor acceptor,
    FrameTiming timing,
    TransportStats stats,
    Map<String, FrameConnection> pool) {

  void forget(String address, FrameConnection connection) {
    pool.remove(address, connection);
  }
}
