package org.cowslipyoke.fake;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ObjectStore;

/** Object store in memory. */
public final class FakeObjects implements ObjectStore {

  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

  @Override
  public Either<Failure, Boolean> put(String key, byte[] bytes) {
    objects.put(key, bytes.clone());
    return Either.right(true);
  }

  @Override
  public Either<Failure, Optional<byte[]>> get(String key) {
    return Either.right(Optional.ofNullable(objects.get(key)));
  }
}
