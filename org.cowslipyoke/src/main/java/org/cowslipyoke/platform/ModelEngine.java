package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.Failure;

/** A model engine with continuous batching and a prefix cache. */
public interface ModelEngine {

  /**
   * Request to generate an answer.
   *
   * @param runId unique id of the run at this engine
   * @param prompt rendered prompt, UTF-8
   * @param generatedPrefix text that an earlier run generated and that the answer continues, UTF-8
   * @param offset number of tokens in {@code generatedPrefix}
   * @param blockKeys keys of the complete blocks of the prompt; the engine's cache uses them
   * @param priority runs with a larger number are executed first
   */
  record Generation(
      String runId,
      String model,
      String adapter,
      byte[] prompt,
      byte[] generatedPrefix,
      long offset,
      List<BlockKey> blockKeys,
      int maxTokens,
      int priority) {}

  /**
   * End of a stream.
   *
   * @param tokenCount tokens of the complete answer, including the generated prefix
   */
  record StreamEnd(long tokenCount, String finishReason) {}

  /** Receives the tokens of a stream; called by one thread. */
  interface TokenSink {

    /** Called once before the first token. */
    void started(String weightVersion, int reusedTokens, int recomputedTokens);

    /** Called for each token; returns false to stop reading (the run continues in the engine). */
    boolean token(long offset, String piece);
  }

  /**
   * Load report; may be up to a second old.
   *
   * @param incarnation changes with each start of the engine
   * @param cold whether the engine reports that it is in cold start
   * @param maxBatch number of runs that the engine executes together when warm
   * @param prefillTokensPerSecond prompt tokens that the engine computes per second
   */
  record Load(
      String incarnation,
      boolean cold,
      int running,
      int waiting,
      int maxBatch,
      double prefillTokensPerSecond,
      double decodeTokensPerSecond) {}

  /** The engine's loaded model and weights; read directly, without a delay. */
  record State(
      String incarnation,
      String model,
      String weightVersion,
      List<String> adapters,
      String engineRole,
      boolean loading,
      long fencingNumber) {}

  /** Change of a block in the engine's cache. */
  enum CacheChange {
    ADDED,
    EVICTED
  }

  /** A cache event; delivered late, possibly out of order, with gaps in the sequence. */
  record CacheEvent(long sequence, CacheChange change, BlockKey key) {}

  /**
   * Cache events after a sequence number.
   *
   * @param firstAvailable lowest sequence that the engine still has
   */
  record CacheEvents(long firstAvailable, List<CacheEvent> events) {}

  /** Order to change the model, weights, adapters or role of the engine. */
  record Order(
      String kind, String model, String adapter, String weightVersion, String engineRole) {}

  /** Generates an answer; blocks until its end. */
  Either<Failure, StreamEnd> generate(Generation generation, TokenSink sink);

  /** Attaches to a run; blocks until its end. Fails with {@code NOT_FOUND} for an unknown run. */
  Either<Failure, StreamEnd> resume(String runId, long offset, TokenSink sink);

  /** Cancels a run; returns false if it had ended or is unknown to the engine. */
  Either<Failure, Boolean> cancel(String runId);

  /** Exports a block of the engine's cache; empty if the engine no longer has it. */
  Either<Failure, Optional<byte[]>> exportBlock(BlockKey key);

  /** Imports a block into the engine's cache. */
  Either<Failure, Boolean> importBlock(BlockKey key, byte[] bytes);

  /** Returns the keys of all blocks in the engine's cache. */
  Either<Failure, List<BlockKey>> cachedBlocks();

  /** Returns the cache events with sequence numbers above {@code after}. */
  Either<Failure, CacheEvents> cacheEvents(long after);

  /** Returns the load report, which lags. */
  Either<Failure, Load> load();

  /** Returns the present state, which does not lag. */
  Either<Failure, State> state();

  /**
   * Sends an order with a fencing number. An engine that checks fencing numbers fails with {@code
   * CONFLICT} if the number is below the highest one it has received.
   */
  Either<Failure, State> order(Order order, long fencingNumber);
}
