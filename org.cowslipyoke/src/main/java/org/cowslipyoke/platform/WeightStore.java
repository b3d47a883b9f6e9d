package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import org.cowslipyoke.errors.Failure;

/** The rate-limited weight store. Engines load from it; daemons only ask what it holds. */
public interface WeightStore {

  /**
   * Weights on offer.
   *
   * @param loading engines that load from the store at the moment
   */
  record Listing(List<String> versions, int loading) {}

  /** Lists the versions of a model. */
  Either<Failure, Listing> versions(String model);
}
