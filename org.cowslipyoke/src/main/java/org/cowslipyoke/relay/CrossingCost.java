package org.cowslipyoke.relay;

/** Cost of sending a request to a server in another failure domain. */
public interface CrossingCost {

  /** Costs that don't depend on the load. */
  CrossingCost FIXED =
      new CrossingCost() {
        @Override
        public double promptMs(String service, String domain, Crossing crossing) {
          return PromptPlacement.REMOTE_MS;
        }

        @Override
        public double requests(String service, String domain, Crossing crossing) {
          return ServicePlacement.REMOTE_WEIGHT;
        }
      };

  /**
   * A request that may be sent to another failure domain.
   *
   * @param bytes expected size of the request and its response in bytes
   * @param draw number in [0, 1) that is uniform over requests and the same for all servers and
   *     attempts of a prompt; selects the requests that leave
   */
  record Crossing(long bytes, double draw) {}

  /**
   * Returns the cost for a prompt in milliseconds of its time to the first token.
   *
   * @param domain failure domain of the server, other than the entry's own
   */
  double promptMs(String service, String domain, Crossing crossing);

  /**
   * Returns the cost for a request of a plain service in requests in flight; negative if the
   * request should leave.
   *
   * @param domain failure domain of the server, other than the entry's own
   */
  double requests(String service, String domain, Crossing crossing);
}
