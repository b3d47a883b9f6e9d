package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;

/** The platform's object store, used for recorded answers that are too large for a table row. */
public interface ObjectStore {

  /** Stores an object. Each key is written only once. */
  Either<Failure, Boolean> put(String key, byte[] bytes);

  /** Reads an object; empty if it does not exist. */
  Either<Failure, Optional<byte[]>> get(String key);
}
