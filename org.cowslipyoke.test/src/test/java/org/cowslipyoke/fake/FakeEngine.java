package org.cowslipyoke.fake;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine;

/**
 * Engine that a test drives: runs wait until the test lets them produce tokens, end, break or
 * crash.
 */
public final class FakeEngine implements ModelEngine {

  /** Longest time that a stream waits for the test, in milliseconds. */
  private static final long MAX_WAIT_MS = 20_000;

  private static final class Run {
    private final Generation generation;
    private final List<String> pieces = new ArrayList<>();
    private String finishReason = "";
    private boolean started;
    private int gap;

    Run(Generation generation) {
      this.generation = generation;
    }
  }

  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<BlockKey, byte[]> cache = new LinkedHashMap<>();
  private final Set<BlockKey> imported = new LinkedHashSet<>();
  private final List<Generation> generations = new ArrayList<>();
  private String incarnation = "first";
  private String weightVersion = "v1";
  private String runVersion = "";
  private int reused;
  private boolean cold;
  private boolean unreachable;
  private int breaks;
  private int resumes;
  private int cancels;

  /** Restarts under another incarnation; runs are lost and their streams reset. */
  public synchronized void crash(String nextIncarnation) {
    incarnation = nextIncarnation;
    runs.clear();
    cache.clear();
    breakStreams();
  }

  /** Resets all streams; the runs go on. */
  public synchronized void breakStreams() {
    breaks++;
    notifyAll();
  }

  /** Makes the engine refuse all connections. */
  public synchronized void setUnreachable(boolean on) {
    unreachable = on;
  }

  /** Sets what the engine says about cold start. */
  public synchronized void setCold(boolean on) {
    cold = on;
  }

  /** Changes the loaded weights. */
  public synchronized void setWeightVersion(String version) {
    weightVersion = version;
  }

  /** Lets runs use cached tokens under a version, whatever the state says. */
  public synchronized void startRunsWith(String version, int reusedTokens) {
    runVersion = version;
    reused = reusedTokens;
  }

  /** Lets the n-th run produce tokens. */
  public synchronized void emit(int number, String... pieces) {
    Run r = run(number);
    r.started = true;
    r.pieces.addAll(List.of(pieces));
    notifyAll();
  }

  /** Hides tokens of the n-th run from its next stream, as if they had been lost. */
  public synchronized void skipTokens(int number, int count) {
    run(number).gap = count;
  }

  /** Lets the n-th run end. */
  public synchronized void finish(int number) {
    run(number).started = true;
    run(number).finishReason = "stop";
    notifyAll();
  }

  /** Puts a block into the engine's cache. */
  public synchronized void putCachedBlock(BlockKey key, byte[] bytes) {
    cache.put(key, bytes);
  }

  /** Returns the generations that reached the engine. */
  public synchronized List<Generation> generations() {
    return List.copyOf(generations);
  }

  /** Returns the imported keys in their order. */
  public synchronized List<BlockKey> imported() {
    return List.copyOf(imported);
  }

  /** Returns the number of resumes and of cancels. */
  public synchronized List<Integer> resumesAndCancels() {
    return List.of(resumes, cancels);
  }

  @Override
  public Either<Failure, StreamEnd> generate(Generation g, TokenSink sink) {
    Run run;
    synchronized (this) {
      if (unreachable) {
        return Either.left(Failure.of(ErrorKind.NO_SERVER, "connection refused"));
      }
      generations.add(g);
      run = new Run(g);
      runs.put(g.runId(), run);
    }
    return stream(run, g.offset(), sink);
  }

  @Override
  public Either<Failure, StreamEnd> resume(String runId, long offset, TokenSink sink) {
    Run run;
    synchronized (this) {
      resumes++;
      run = runs.get(runId);
      if (run == null) {
        return Either.left(Failure.of(ErrorKind.NOT_FOUND, "no such run"));
      }
    }
    return stream(run, offset, sink);
  }

  private Either<Failure, StreamEnd> stream(Run run, long from, TokenSink sink) {
    int brokenBefore = breaks();
    long at = from;
    boolean told = false;
    while (true) {
      List<String> fresh;
      boolean tell;
      synchronized (this) {
        awaitNews(run, at, told, brokenBefore);
        if (breaks != brokenBefore) {
          return Either.left(Failure.of(ErrorKind.INCOMPLETE, "connection reset"));
        }
        tell = run.started && !told;
        if (!tell && end(run) <= at && !run.finishReason.isEmpty()) {
          return Either.right(new StreamEnd(end(run), run.finishReason));
        }
        at += run.gap;
        run.gap = 0;
        int index = (int) (at - run.generation.offset());
        fresh = List.copyOf(run.pieces.subList(index, run.pieces.size()));
      }
      if (tell) {
        told = true;
        sink.started(runVersion.isEmpty() ? weightVersion : runVersion, reused, 1);
      }
      for (String piece : fresh) {
        if (!sink.token(at, piece)) {
          return Either.left(Failure.of(ErrorKind.CANCELLED, "reader stopped"));
        }
        at++;
      }
    }
  }

  private synchronized void awaitNews(Run run, long at, boolean told, int brokenBefore) {
    long deadline = System.currentTimeMillis() + MAX_WAIT_MS;
    try {
      while (breaks == brokenBefore
          && end(run) <= at
          && (told || !run.started)
          && run.finishReason.isEmpty()
          && System.currentTimeMillis() < deadline) {
        wait(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      breakStreams();
    }
  }

  private static long end(Run run) {
    return run.generation.offset() + run.pieces.size();
  }

  private synchronized int breaks() {
    return breaks;
  }

  private Run run(int number) {
    return Optional.ofNullable(runs.get(generations.get(number).runId())).orElseThrow();
  }

  @Override
  public synchronized Either<Failure, Boolean> cancel(String runId) {
    cancels++;
    Run run = runs.get(runId);
    if (run == null || !run.finishReason.isEmpty()) {
      return Either.right(false);
    }
    run.finishReason = "cancelled";
    notifyAll();
    return Either.right(true);
  }

  @Override
  public synchronized Either<Failure, Optional<byte[]>> exportBlock(BlockKey key) {
    return Either.right(Optional.ofNullable(cache.get(key)));
  }

  @Override
  public synchronized Either<Failure, Boolean> importBlock(BlockKey key, byte[] bytes) {
    cache.put(key, bytes);
    imported.add(key);
    return Either.right(true);
  }

  @Override
  public synchronized Either<Failure, List<BlockKey>> cachedBlocks() {
    return Either.right(List.copyOf(cache.keySet()));
  }

  @Override
  public Either<Failure, CacheEvents> cacheEvents(long after) {
    return Either.right(new CacheEvents(1, List.of()));
  }

  @Override
  public synchronized Either<Failure, Load> load() {
    return Either.right(new Load(incarnation, cold, 0, 0, 8, 10_000, 50));
  }

  @Override
  public synchronized Either<Failure, State> state() {
    return unreachable
        ? Either.left(Failure.of(ErrorKind.NO_SERVER, "connection refused"))
        : Either.right(new State(incarnation, "m", weightVersion, List.of(), "both", false, 0));
  }

  @Override
  public Either<Failure, State> order(Order order, long fencingNumber) {
    return state();
  }
}
