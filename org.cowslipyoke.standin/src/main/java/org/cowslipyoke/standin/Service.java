package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** What a kind of stand-in does apart from the shared switches. */
interface Service {

  /** Answers one request. */
  void handle(Exchange x) throws IOException, InterruptedException;

  /** Adds the counts of this kind. */
  void stats(ObjectNode out);

  /** Handles a request below {@code /admin}; returns false if there is no such path. */
  default boolean admin(Exchange x) throws IOException {
    return false;
  }

  /** Called after the switches changed, with the given values. */
  default void faultsChanged(JsonNode given) {}

  /** Stops background work. */
  default void close() {}
}
