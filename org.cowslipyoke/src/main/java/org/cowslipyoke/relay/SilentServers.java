package org.cowslipyoke.relay;

import java.util.List;

/**
 * Decides when an attempt is taken from a server that has stopped responding without closing its
 * connections, as a server that lost power or its network does. Its streams would otherwise wait
 * until the deadline of their callers.
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
    if (idleMs < MIN_IDLE_MS || !directory.isSilent(server.address())) {
      return false;
    }
    long silent = servers.stream().filter(s -> directory.isSilent(s.address())).count();
    return silent <= MAX_SILENT_FRACTION * servers.size();
  }
}
