package org.cowslipyoke.stream;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;
import org.jspecify.annotations.Nullable;

/**
 * Origins for a process without a table: it knows the streams that it has passed on itself, and
 * takes a service whose listed servers have one version for one that has had no other.
 */
public final class LocalStreamOrigins implements StreamOrigins {

  private record Origin(String service, String software) {}

  private final Supplier<FleetState> state;
  private final Cache<String, Origin> begun =
      Caffeine.newBuilder().maximumSize(StreamLedger.MAX_REMEMBERED).build();

  /** Creates the origins of a process that has passed on nothing. */
  public LocalStreamOrigins(Supplier<FleetState> state) {
    this.state = state;
  }

  @Override
  public CompletableFuture<Either<Failure, String>> find(
      String service, @Nullable String firstRequest) {
    Origin own = firstRequest == null ? null : begun.getIfPresent(firstRequest);
    Set<String> versions = state.get().versions(service);
    boolean known = own == null ? versions.size() == 1 : own.service().equals(service);
    Either<Failure, String> found =
        known
            ? Either.right(own == null ? versions.iterator().next() : own.software())
            : Either.left(unknown());
    return CompletableFuture.completedFuture(found);
  }

  private static Failure unknown() {
    return Failure.of(ErrorKind.STREAM_UNKNOWN, "the version that began the stream is not known");
  }

  @Override
  public Beginning begin(
      String service, String request, int attempt, String software, boolean shared) {
    begun.put(request, new Origin(service, software));
    return () -> CompletableFuture.completedFuture(true);
  }

  @Override
  public void completed(String request) {
    begun.invalidate(request);
  }

  @Override
  public CompletableFuture<Boolean> isListedIncarnation(BackendServer server) {
    return CompletableFuture.completedFuture(true);
  }

  @Override
  public List<BackendServer> permitted(String service, List<BackendServer> candidates) {
    return candidates;
  }
}
