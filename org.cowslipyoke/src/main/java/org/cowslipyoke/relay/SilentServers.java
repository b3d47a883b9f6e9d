package org.cowslipyoke.relay;

import java.util.List;

/**
 * Decides whether a server has stopped responding without closing its connections, as a server that
 * lost power or its network does. Its streams would otherwise wait until the deadline of their
 * callers, and new requests would be placed on it.
 */
public final class SilentServers {

  /**
   * Minimum time without a byte of the response, in milliseconds. Together with the polls that the
   * server has not answered it tells a silent server from one that is busy with other requests.
   */
  static final long MIN_IDLE_MS = 400;

  /**
   * Fraction of a group above which servers are not taken for silent: the cause is then more likely
   * this entry or its network.
   */
  static final double MAX_SILENT_FRACTION = 0.5;

  private final CacheDirectory directory;

  /** Creates the decision on the polls recorded in a directory. */
  public SilentServers(CacheDirectory directory) {
    this.directory = directory;
  }

  /**
   * Returns whether an attempt should go on at another server.
   *
   * @param servers servers of the group that may get new work
   * @param idleMs time without a byte of the response, in milliseconds
   */
  public boolean isAttemptLost(List<BackendServer> servers, BackendServer server, long idleMs) {
    return idleMs >= MIN_IDLE_MS
        && directory.isSilent(server.address())
        && isOwnPollingSound(servers);
  }

  /**
   * Returns whether a new request would have to wait at a server for that reason. A server that has
   * not answered its first poll is not counted, since this entry may have just started.
   *
   * @param pollingSound result of {@link #isOwnPollingSound} for the group of the server
   */
  public boolean isUnresponsive(BackendServer server, boolean pollingSound) {
    return pollingSound
        && directory.isSilent(server.address())
        && directory.hasAnswered(server.address());
  }

  /** Returns whether so few servers of a group are silent that the cause is not this entry. */
  public boolean isOwnPollingSound(List<BackendServer> servers) {
    long silent = servers.stream().filter(s -> directory.isSilent(s.address())).count();
    return silent <= MAX_SILENT_FRACTION * servers.size();
  }
}
