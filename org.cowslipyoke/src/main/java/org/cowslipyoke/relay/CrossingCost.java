package org.cowslipyoke.relay;

/** Cost of sending a request to a server in another failure domain. */
public interface CrossingCost {

  /** Costs that don't depend on the load. */
  CrossingCost FIXED =
      new CrossingCost() {
        @Override
        public double promptMs(String service, String domain) {
          return PromptPlacement.REMOTE_MS;
        }

        @Override
        public double requests(String service, String domain) {
          return ServicePlacement.REMOTE_WEIGHT;
        }
      };

  /**
   * Returns the cost for a prompt in milliseconds of its time to the first token.
   *
   * @param domain failure domain of the server, other than the entry's own
   */
  double promptMs(String service, String domain);

  /**
   * Returns the cost for a request of a plain service in requests in flight.
   *
   * @param domain failure domain of the server, other than the entry's own
   */
  double requests(String service, String domain);
}
