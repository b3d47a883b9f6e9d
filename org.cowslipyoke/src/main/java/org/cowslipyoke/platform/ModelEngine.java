package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.Failure;

/** A model engine with continuous batching and a prefix cache. */
public interface ModelEngine {

  /**
   * A generation.
   *
   * @param runId unique id of the run at this engine
   * @param prompt rendered prompt, UTF-8
   * @param generatedPrefix text generated earlier, from which the answer goes on
   * @param offset tokens in {@code generatedPrefix}
   * @param blockKeys keys of the whole blocks of the prompt; the engine's cache is indexed by them
   * @param priority larger is sooner
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
   * @param tokenCount tokens of the whole answer, including the generated prefix
   */
  record StreamEnd(long tokenCount, String finishReason) {}

  /** Receives a stream; called from one thread. */
  interface TokenSink {

    /** Called once before the first token. */
    void started(String weightVersion, int reusedTokens, int recomputedTokens);

    /** Called for each token; returns false to stop reading (the run goes on in the engine). */
    boolean token(long offset, String piece);
  }

  /**
   * Load report, up to a second old.
   *
   * @param incarnation changes with each start of the engine
   * @param cold whether the engine says that it is in cold start
   * @param maxBatch runs that the engine executes together when warm
   * @param prefillTokensPerSecond prompt tokens computed a second
   */
  record Load(
      String incarnation,
      boolean cold,
      int running,
      int waiting,
      int maxBatch,
      double prefillTokensPerSecond,
      double decodeTokensPerSecond) {}

  /** Loaded model and weights, read directly and not delayed. */
  record State(
      String incarnation,
      String model,
      String weightVersion,
      List<String> adapters,
      String engineRole,
      boolean loading,
      long fencingNumber) {}

  /** What happened to a block in the engine's cache. */
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

  /** Order to change what the engine serves. */
  record Order(
      String kind, String model, String adapter, String weightVersion, String engineRole) {}

  /** Runs a generation and blocks until its end. */
  Either<Failure, StreamEnd> generate(Generation generation, TokenSink sink);

  /** Attaches to a run and blocks until its end; {@code NOT_FOUND} if the engine lacks it. */
  Either<Failure, StreamEnd> resume(String runId, long offset, TokenSink sink);

  /** Cancels a run; true if the engine dropped it, false if it had ended or is not known. */
  Either<Failure, Boolean> cancel(String runId);

  /** Exports a block of the engine's cache; empty if the engine no longer has it. */
  Either<Failure, Optional<byte[]>> exportBlock(BlockKey key);

  /** Imports a block into the engine's cache. */
  Either<Failure, Boolean> importBlock(BlockKey key, byte[] bytes);

  /** Returns which of the keys are in the engine's cache, the whole set. */
  Either<Failure, List<BlockKey>> cachedBlocks();

  /** Returns cache events with a sequence above {@code after}. */
  Either<Failure, CacheEvents> cacheEvents(long after);

  /** Returns the lagging load report. */
  Either<Failure, Load> load();

  /** Returns the state. */
  Either<Failure, State> state();

  /**
   * Gives an order with a fencing number. Engines that check it answer {@code CONFLICT} to a number
   * below the highest one they have seen.
   */
  Either<Failure, State> order(Order order, long fencingNumber);
}
