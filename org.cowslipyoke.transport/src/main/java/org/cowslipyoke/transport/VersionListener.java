package org.cowslipyoke.transport;

/** Told of versions on incoming frames that are higher than the own ones. */
@FunctionalInterface
public interface VersionListener {

  /**
   * Called from an I/O thread; must not block.
   *
   * @param peerVm vm of the peer from its {@code Hello}
   * @param connection opens streams on the connection that the frame came from
   */
  void newer(String peerVm, PeerConnection connection, long configVersion, long suspectsVersion);
}
