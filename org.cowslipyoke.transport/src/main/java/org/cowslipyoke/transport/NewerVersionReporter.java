package org.cowslipyoke.transport;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.message.Envelope;

/**
 * Tells the node's listener that the peer of a connection has newer versions of the documents. Each
 * frame names them, so a version that was just reported is not reported again for a while.
 */
final class NewerVersionReporter {

  private static final Logger LOG = LogManager.getLogger(NewerVersionReporter.class);

  /** Minimum time between two reports of the same versions, in milliseconds. */
  private static final long REPEAT_MS = 100;

  private final NodeContext node;
  private final PeerConnection connection;
  private long reportedMs;
  private long reportedConfig;
  private long reportedSuspects;

  NewerVersionReporter(NodeContext node, PeerConnection connection) {
    this.node = node;
    this.connection = connection;
  }

  /**
   * Handles the versions that a frame names.
   *
   * @param vm VM of the peer
   * @param nowMs time of the frame's arrival, in milliseconds
   */
  void received(Envelope frame, String vm, long nowMs) {
    long config = frame.configVersion();
    long suspects = frame.suspectsVersion();
    boolean newer =
        config > node.versions().configVersion() || suspects > node.versions().suspectsVersion();
    boolean same = config == reportedConfig && suspects == reportedSuspects;
    if (!newer || (same && nowMs - reportedMs < REPEAT_MS)) {
      return;
    }
    reportedMs = nowMs;
    reportedConfig = config;
    reportedSuspects = suspects;
    try {
      node.versionListener().newer(vm, connection, config, suspects);
    } catch (RuntimeException e) {
      LOG.error("version listener failed", e);
    }
  }
}
