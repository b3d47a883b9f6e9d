package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslipyoke.bench.CallerClient.Prompt;
import org.cowslipyoke.bench.CallerClient.Reply;
import org.eclipse.jetty.http.HttpMethod;

/** Starts a deployment on loopback, sends real prompts and shows the answers. */
public final class Demo {

  private static final int ENGINES = 4;
  private static final int SERVICES = 2;
  private static final int HISTORY_BYTES = 24_000;
  private static final long ANSWER_TIMEOUT_S = 45;

  private final Deployment deployment;
  private final CallerClient client;
  private final JsonNode keys;

  private Demo(Deployment deployment, CallerClient client) {
    this.deployment = deployment;
    this.client = client;
    keys = deployment.resource("keys.json");
  }

  /** Runs the demonstration; the exit code is 0 if every step succeeded. */
  public static void main(String[] args) {
    List<String> options = List.of(args);
    for (String option : options) {
      if (!List.of("--keep", "--kill-server").contains(option)) {
        System.err.println("usage: demo [--kill-server] [--keep]");
        System.exit(2);
      }
    }
    System.exit(run(options));
  }

  private static int run(List<String> options) {
    Path root = Path.of(System.getProperty("cowslipyoke.root", "."));
    DeploymentSpec spec = DeploymentSpec.cooperativa(ENGINES, SERVICES, "cost", 200);
    step("starting " + ENGINES + " engines, " + SERVICES + " plain services and their daemons");
    CountDownLatch end = new CountDownLatch(1);
    try (CallerClient client = new CallerClient();
        Deployment deployment = Deployment.start(spec, root, client)) {
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    end.countDown();
                    deployment.stop();
                  }));
      Demo demo = new Demo(deployment, client);
      demo.prompts();
      demo.booking();
      if (options.contains("--kill-server")) {
        demo.killServer();
      }
      demo.status();
      if (options.contains("--keep")) {
        demo.keep(end);
      }
      step("stopping");
      return 0;
    } catch (BenchException e) {
      System.err.println("demo failed: " + e.getMessage());
      return 1;
    }
  }

  private void prompts() {
    List<String> organisations = new ArrayList<>();
    keys.fieldNames().forEachRemaining(organisations::add);
    Conversation first = null;
    for (String organisation : organisations.subList(0, 3)) {
      Conversation conversation =
          new Conversation("c-" + organisation, organisation, HISTORY_BYTES, 1);
      step(organisation + " sends " + HISTORY_BYTES / 4 + " tokens to entry-1");
      show(turn(conversation, 0, "Which stalls are free at midday?"), conversation);
      first = first == null ? conversation : first;
    }
    if (first == null) {
      throw new BenchException("no organisation in keys.json");
    }
    step(first.organisation() + " returns through entry-2");
    final long reusable = first.reusableTokens();
    final long before = deployment.engineCount("reusedTokens");
    Answer answer = turn(first, 1, "And in the afternoon?");
    show(answer, first);
    long reused = deployment.engineCount("reusedTokens") - before;
    System.out.printf("  reused %d of %d tokens in whole blocks%n", reused, reusable);
    if (reused <= 0) {
      throw new BenchException("the returning conversation reused no tokens");
    }
  }

  private Answer turn(Conversation conversation, int entry, String question) {
    Answer answer = await(send(conversation, entry, question, 48));
    if (!answer.isComplete()) {
      throw new BenchException("the prompt was not answered: " + answer);
    }
    conversation.answered(answer.text());
    return answer;
  }

  private CompletableFuture<Answer> send(
      Conversation conversation, int entry, String question, int maxTokens) {
    Prompt prompt =
        new Prompt(
            keys.path(conversation.organisation()).asText(),
            deployment.spec().model(),
            conversation.id(),
            conversation.ask(question),
            maxTokens,
            "interactive",
            30_000);
    return client.ask(deployment.entryUrl(entry), prompt);
  }

  private void show(Answer answer, Conversation conversation) {
    System.out.println("  answer to " + conversation.organisation() + ": " + answer.text());
    System.out.printf(
        "  first token after %d ms, %d pieces%n", answer.ttftMs(), answer.gapsMs().size() + 1);
  }

  private void booking() {
    Map.Entry<String, JsonNode> organisation = keys.properties().iterator().next();
    step(organisation.getKey() + " books a stall twice with one idempotency key");
    String url = deployment.entryUrl(0) + "/marcacoes/bookings";
    String body = "{\"stall\":7,\"day\":\"2027-04-01\"}";
    List<Reply> replies = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Reply reply =
          client.call(
              HttpMethod.POST,
              url,
              body,
              "Authorization",
              "Bearer " + organisation.getValue().asText(),
              "Idempotency-Key",
              "booking-1");
      System.out.println("  status " + reply.status() + " " + reply.body());
      if (reply.status() / 100 != 2) {
        throw new BenchException("the booking failed: " + reply);
      }
      replies.add(reply);
    }
    if (!replies.get(0).body().equals(replies.get(1).body())) {
      throw new BenchException("the repeated booking got another answer");
    }
  }

  private void killServer() {
    Map.Entry<String, JsonNode> organisation = keys.properties().iterator().next();
    Conversation conversation = new Conversation("c-kill", organisation.getKey(), 16_000, 2);
    step("sending a long prompt, then killing the server daemon and the engine that run it");
    CompletableFuture<Answer> pending = send(conversation, 0, "Tell me about every stall.", 400);
    Deployment.Server victim = awaitRunning(pending);
    victim.daemon().kill();
    victim.backend().kill();
    System.out.println("  killed " + victim.vm() + " and its engine");
    Answer answer = await(pending);
    if (answer.isComplete()) {
      show(answer, conversation);
      System.out.println("  the caller got the whole answer");
    } else if (!answer.outcome().isEmpty()) {
      System.out.println("  the caller was refused: " + answer);
    } else {
      throw new BenchException("neither an answer nor a refusal: " + answer);
    }
  }

  private Deployment.Server awaitRunning(CompletableFuture<Answer> pending) {
    while (!pending.isDone()) {
      for (Deployment.Server server : deployment.servers()) {
        if (server.engine() && deployment.stats(server.backend()).path("running").asInt() > 0) {
          return server;
        }
      }
    }
    throw new BenchException("the answer ended before the engine was found");
  }

  private void status() {
    step("status");
    System.out.printf("  %-14s %-8s %-10s %-6s%n", "vm", "role", "domain", "ready");
    for (LocalProcess entry : deployment.entries()) {
      String domain = deployment.spec().failureDomain(deployment.entries().indexOf(entry));
      row(entry.name(), "entry", domain, deployment.isReady(entry));
    }
    for (Deployment.Server server : deployment.servers()) {
      boolean ready = deployment.isReady(server.daemon());
      row(server.vm(), "server", server.failureDomain(), ready);
    }
  }

  private static void row(String vm, String role, String domain, boolean ready) {
    System.out.printf("  %-14s %-8s %-10s %-6s%n", vm, role, domain, ready ? "yes" : "no");
  }

  private void keep(CountDownLatch end) {
    step("running until Enter or SIGTERM");
    for (int i = 0; i < deployment.entries().size(); i++) {
      System.out.println("  entry " + deployment.entryUrl(i));
    }
    System.out.println("  table " + deployment.tableUrl());
    Map.Entry<String, JsonNode> organisation = keys.properties().iterator().next();
    System.out.println("  bearer key " + organisation.getValue().asText());
    System.out.println(
        "  credential for section places: " + deployment.text("credentials/places.txt").strip());
    Thread input =
        new Thread(
            () -> {
              try {
                // A closed standard input is no Enter: the deployment then runs until SIGTERM.
                if (System.in.read() >= 0) {
                  end.countDown();
                }
              } catch (IOException e) {
                System.err.println("cannot read standard input: " + e.getMessage());
              }
            });
    input.setDaemon(true);
    input.start();
    try {
      end.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Answer await(CompletableFuture<Answer> pending) {
    try {
      return pending.get(ANSWER_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new BenchException("no answer within " + ANSWER_TIMEOUT_S + " s");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new BenchException("interrupted");
    }
  }

  private static void step(String text) {
    System.out.println("== " + text);
  }
}
