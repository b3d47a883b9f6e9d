package org.cowslipyoke.suspect;

import java.util.List;
import java.util.Map;

/**
 * Report of one process to the others about suspects. Times are ages in milliseconds, so that
 * clocks need not be synchronised.
 *
 * @param crashes runs that a crash ended, by incarnation of the server
 * @param cleared fingerprints of requests that received a complete response
 * @param aliveAgesMs time since a server that was considered lost was observed alive, by
 *     incarnation
 */
public record SuspectReport(
    Map<String, List<CrashedRun>> crashes, List<Long> cleared, Map<String, Long> aliveAgesMs) {

  /**
   * A run that ended with the connection to its server.
   *
   * @param fingerprint fingerprint of the request
   * @param ageMs time since the connection was lost
   * @param ranMs time between the start of the run and the loss of the connection
   */
  public record CrashedRun(long fingerprint, long ageMs, long ranMs) {}
}
