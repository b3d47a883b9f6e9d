package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Behaviour of one kind of stand-in, apart from the common fault switches. */
interface Service {

  /** Responds to one request. */
  void handle(Exchange x) throws IOException, InterruptedException;

  /** Adds the counters of this kind. */
  void stats(ObjectNode out);

  /** Handles a request below {@code /admin}; returns false if the path is not known. */
  default boolean admin(Exchange x) throws IOException {
    return false;
  }

  /** Called after a change of the fault switches, with the values that were given. */
  default void faultsChanged(JsonNode given) {}

  /** Stops background work. */
  default void close() {}
}
