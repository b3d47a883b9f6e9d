package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import org.cowslipyoke.errors.Failure;

/** The rate-limited weight store. Engines load weights from it; daemons only list its versions. */
public interface WeightStore {

  /**
   * Weight versions that the store holds for a model.
   *
   * @param loading number of engines that are loading weights from the store
   */
  record Listing(List<String> versions, int loading) {}

  /** Lists the versions of a model. */
  Either<Failure, Listing> versions(String model);
}
