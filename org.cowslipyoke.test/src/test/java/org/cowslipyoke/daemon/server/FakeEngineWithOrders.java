package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.util.Clock;

/**
 * Engine that supports only state reads and orders; loading weights takes 2 s of the manual clock.
 */
final class FakeEngineWithOrders implements ModelEngine {

  private static final long LOAD_MS = 2_000;

  final List<Long> orders = new ArrayList<>();
  final List<String> adapters = new ArrayList<>();
  String weightVersion = "v1";
  long fencingNumber;
  boolean enforced = true;
  int loseAnswers;

  private final Clock clock;
  private long loadedAtMs;

  FakeEngineWithOrders(Clock clock) {
    this.clock = clock;
  }

  boolean isLoading() {
    return clock.nowMs() < loadedAtMs;
  }

  @Override
  public Either<Failure, State> state() {
    return Either.right(
        new State(
            "i", "m", weightVersion, List.copyOf(adapters), "both", isLoading(), fencingNumber));
  }

  @Override
  public Either<Failure, State> order(Order order, long number) {
    if (enforced && number < fencingNumber) {
      return Either.left(Failure.of(ErrorKind.CONFLICT, "outdated"));
    }
    fencingNumber = Math.max(fencingNumber, number);
    orders.add(number);
    switch (order.kind()) {
      case "load" -> {
        weightVersion = order.weightVersion();
        loadedAtMs = clock.nowMs() + LOAD_MS;
      }
      case "load_adapter" -> adapters.add(order.adapter());
      case "unload_adapter" -> adapters.remove(order.adapter());
      default -> throw new IllegalArgumentException(order.kind());
    }
    if (loseAnswers > 0) {
      loseAnswers--;
      return Either.left(Failure.of(ErrorKind.INCOMPLETE, "response lost"));
    }
    return state();
  }

  @Override
  public Either<Failure, StreamEnd> generate(Generation generation, TokenSink sink) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<Failure, StreamEnd> resume(String runId, long offset, TokenSink sink) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<Failure, Boolean> cancel(String runId) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<Failure, Optional<byte[]>> exportBlock(BlockKey key) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<Failure, Boolean> importBlock(BlockKey key, byte[] bytes) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<Failure, List<BlockKey>> cachedBlocks() {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<Failure, CacheEvents> cacheEvents(long after) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Either<Failure, Load> load() {
    throw new UnsupportedOperationException();
  }
}
