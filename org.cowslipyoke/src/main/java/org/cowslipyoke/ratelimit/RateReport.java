package org.cowslipyoke.ratelimit;

import java.util.List;
import org.cowslipyoke.relay.ServerNotice;

/**
 * A message between entries about the servers that have named a rate. Ages are in milliseconds,
 * since the clocks of entries differ.
 *
 * @param sender VM of the entry that sent it
 */
public record RateReport(
    String sender, List<Statement> statements, List<Demand> demands, List<Grant> grants) {

  /** Maximum number of elements of each kind in a report. */
  public static final int MAX_ELEMENTS = 64;

  /**
   * A rate that a server has named.
   *
   * @param incarnation incarnation of the server
   * @param rate requests per second, {@link ServerNotice#NO_RATE} if the limit has ended
   * @param ageMs time since the response from which this is known
   */
  public record Statement(String incarnation, double rate, long ageMs) {}

  /**
   * A demand for permits.
   *
   * @param arrivals requests that could have used the server since the last demand; 0 only asks
   *     whether the receiver responds
   * @param unused permits that have expired unused since the last demand
   */
  public record Demand(String incarnation, int arrivals, int unused) {}

  /**
   * The response to a demand.
   *
   * @param permits number of requests that the receiver may send to the server
   */
  public record Grant(String incarnation, int permits) {}

  /**
   * A report and its destination.
   *
   * @param vm VM of the receiver
   */
  public record Addressed(String vm, RateReport report) {}
}
