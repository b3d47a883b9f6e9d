package org.cowslipyoke.rollout;

import java.util.List;
import java.util.Map;

/**
 * What one entry tells the others about its rollouts. All counts are cumulative and each is sent
 * several times, so that a lost report is made up for by the next ones.
 *
 * @param vm name of the entry
 * @param startedMs start time of the entry in Unix milliseconds
 * @param sequence number of the report within a run of the entry
 * @param tableVersion highest version of a row in the entry's copy of the table of rollouts
 * @param asOfMs time of the table's clock, in milliseconds, at which that copy was current;
 *     negative if there is none
 * @param owner whether the entry owns the rollouts
 */
public record RolloutReport(
    String vm,
    long startedMs,
    long sequence,
    long tableVersion,
    long asOfMs,
    boolean owner,
    List<ServiceReport> services) {

  /**
   * Counts for one rollout.
   *
   * @param rolloutMs start time of the rollout, which identifies it
   * @param step number of the step that the entry applies, 0 if its copy is not current
   * @param halted why the entry sends nothing to the target, empty if it does
   * @param requests requests sent to servers of the service
   * @param targetRequests those of them that were sent to servers of the target version
   * @param oldInFlight requests that run on servers of old versions
   * @param tallies answers of each series that has changed lately
   */
  public record ServiceReport(
      String service,
      long rolloutMs,
      int step,
      String halted,
      long requests,
      long targetRequests,
      int oldInFlight,
      Map<Series, Tally> tallies) {}
}
