package org.cowslipyoke.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A process that this program started, with its output in a log file. */
final class LocalProcess {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** A JVM on a machine that starts thirty of them at once needs several seconds. */
  private static final long READY_TIMEOUT_S = 40;

  private final String name;
  private final Process process;
  private final Path log;
  private final CompletableFuture<JsonNode> ready = new CompletableFuture<>();

  private LocalProcess(String name, Process process, Path log) {
    this.name = name;
    this.process = process;
    this.log = log;
  }

  static LocalProcess start(String name, List<String> command, Path folder) throws IOException {
    Path log = folder.resolve(name + ".log");
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    LocalProcess started = new LocalProcess(name, builder.start(), log);
    Thread reader = new Thread(started::copyOutput, "output-" + name);
    reader.setDaemon(true);
    reader.start();
    return started;
  }

  String name() {
    return name;
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Returns the line that the process prints when it listens.
   *
   * @throws BenchException if it ends or is not ready in time
   */
  JsonNode awaitReady() {
    try {
      return ready.get(READY_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new BenchException(name + " did not become ready; see " + log + tail());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new BenchException("interrupted while " + name + " starts");
    }
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL. */
  void kill() {
    process.destroyForcibly();
  }

  /** Sends another signal, for example {@code STOP}. */
  void signal(String signal) {
    if (!process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
          .inheritIO()
          .start()
          .waitFor();
    } catch (IOException e) {
      throw new BenchException("cannot signal " + name + ": " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the end; false if the process still runs. */
  boolean awaitExit(long timeoutMs) {
    try {
      return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private String tail() {
    try {
      List<String> lines = Files.readAllLines(log);
      return ":\n" + String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    } catch (IOException e) {
      return "";
    }
  }

  private void copyOutput() {
    try (BufferedReader input =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        BufferedWriter output = Files.newBufferedWriter(log)) {
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        output.write(line);
        output.newLine();
        output.flush();
        if (!ready.isDone() && line.contains("\"ready\"")) {
          parse(line);
        }
      }
    } catch (IOException e) {
      // The output ends with the process.
    } finally {
      ready.completeExceptionally(new IOException("the process ended"));
    }
  }

  private void parse(String line) {
    try {
      JsonNode node = JSON.readTree(line);
      if (node.path("event").asText().equals("ready")) {
        ready.complete(node);
      }
    } catch (JsonProcessingException e) {
      // Not the ready line; the process may print other text.
    }
  }
}
