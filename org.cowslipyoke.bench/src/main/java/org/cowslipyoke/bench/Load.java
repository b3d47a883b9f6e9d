package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslipyoke.bench.CallerClient.Prompt;

/** Sends the turns of conversations at planned times, with a bound on requests in flight. */
final class Load implements AutoCloseable {

  /** Turns beyond this wait at the caller; keeps a run against a stuck deployment bounded. */
  private static final int MAX_IN_FLIGHT = 400;

  private static final long DEADLINE_MS = 20_000;
  private static final long END_TIMEOUT_S = 45;

  /** Share of conversations that belong to the first three organisations, the large ones. */
  private static final double LARGE_SHARE = 0.6;

  private final Deployment deployment;
  private final CallerClient client;
  private final Tally tally;
  private final long seed;
  private final Random random;
  private final JsonNode keys;
  private final List<String> organisations = new ArrayList<>();
  private final Semaphore inFlight = new Semaphore(MAX_IN_FLIGHT);
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          2,
          r -> {
            Thread thread = new Thread(r, "load");
            thread.setDaemon(true);
            return thread;
          });

  Load(Deployment deployment, CallerClient client, Tally tally, long seed) {
    this.deployment = deployment;
    this.client = client;
    this.tally = tally;
    this.seed = seed;
    random = new Random(seed);
    keys = deployment.resource("keys.json");
    keys.fieldNames().forEachRemaining(organisations::add);
  }

  /** Size and class of one turn. */
  record Turn(int questionBytes, int maxTokens, String priority) {}

  /** Returns new conversations, a few organisations having most of them. */
  List<Conversation> conversations(String prefix, int count, int historyBytes) {
    List<Conversation> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boolean large = random.nextDouble() < LARGE_SHARE;
      int large3 = Math.min(3, organisations.size());
      int pick = large ? random.nextInt(large3) : random.nextInt(organisations.size());
      int bytes = historyBytes / 2 + random.nextInt(historyBytes);
      result.add(new Conversation(prefix + i, organisations.get(pick), bytes, seed * 1000 + i));
    }
    return result;
  }

  /** Sends one turn of each conversation at random times within the span; waits for all. */
  void everybody(List<Conversation> conversations, Turn turn, long spanMs) {
    List<CompletableFuture<Void>> pending = new ArrayList<>();
    for (Conversation conversation : conversations) {
      pending.add(later((long) (random.nextDouble() * spanMs), conversation, turn));
    }
    await(pending);
  }

  /** Plans one turn. A conversation must have no other turn under way. */
  CompletableFuture<Void> later(long delayMs, Conversation conversation, Turn turn) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    String entry = deployment.entryUrl(random.nextInt(deployment.spec().entries()));
    var unused =
        timer.schedule(() -> send(entry, conversation, turn, done), delayMs, TimeUnit.MILLISECONDS);
    return done;
  }

  /** Waits for planned turns. */
  static void await(List<CompletableFuture<Void>> pending) {
    try {
      CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
          .get(END_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new BenchException("requests did not end within " + END_TIMEOUT_S + " s: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new BenchException("interrupted");
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void send(
      String entry, Conversation conversation, Turn turn, CompletableFuture<Void> done) {
    if (!inFlight.tryAcquire()) {
      var unused =
          timer.schedule(() -> send(entry, conversation, turn, done), 5, TimeUnit.MILLISECONDS);
      return;
    }
    try {
      Prompt prompt =
          new Prompt(
              keys.path(conversation.organisation()).asText(),
              deployment.spec().model(),
              conversation.id(),
              conversation.ask(turn.questionBytes()),
              turn.maxTokens(),
              turn.priority(),
              DEADLINE_MS);
      var unused =
          client
              .ask(entry, prompt)
              .thenAccept(answer -> ended(conversation, answer, done))
              .exceptionally(
                  e -> {
                    done.completeExceptionally(e);
                    return null;
                  });
    } catch (RuntimeException e) {
      inFlight.release();
      done.completeExceptionally(e);
    }
  }

  private void ended(Conversation conversation, Answer answer, CompletableFuture<Void> done) {
    inFlight.release();
    tally.add(answer);
    if (answer.isComplete()) {
      conversation.answered(answer.text());
    } else {
      conversation.retract();
    }
    done.complete(null);
  }
}
