package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** Starts the JVMs of a deployment and ends exactly those, by their process ids. */
final class LocalProcesses implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_PROCESSES = 40;
  private static final long STOP_TIMEOUT_MS = 8000;

  private final Path root;
  private final Path folder;
  private final List<LocalProcess> processes = new CopyOnWriteArrayList<>();

  /**
   * Creates the launcher.
   *
   * @param root folder of the checkout with the built jars
   */
  LocalProcesses(Path root) {
    this.root = root;
    try {
      folder = Files.createTempDirectory("cowslipyoke-");
    } catch (IOException e) {
      throw new BenchException("cannot create a folder for settings and logs: " + e.getMessage());
    }
  }

  /** Returns the folder of the settings and logs. */
  Path folder() {
    return folder;
  }

  LocalProcess standIn(String name, String kind, JsonNode settings) {
    String heap = kind.equals("store") || kind.equals("engine") ? "-Xmx192m" : "-Xmx96m";
    List<String> command = java(heap, "org.cowslipyoke.standin");
    command.addAll(List.of("org.cowslipyoke.standin.Main", "--kind", kind));
    command.addAll(List.of("--settings", write(name, settings).toString()));
    return start(name, command);
  }

  LocalProcess daemon(String name, JsonNode settings) {
    List<String> command = java("-Xmx128m", "org.cowslipyoke.daemon");
    command.add("org.cowslipyoke.daemon.runtime.Main");
    command.addAll(List.of("--settings", write(name, settings).toString()));
    return start(name, command);
  }

  /** Ends all processes: SIGTERM, then SIGKILL for those that remain. */
  @Override
  public void close() {
    processes.forEach(p -> p.signal("CONT"));
    processes.forEach(LocalProcess::terminate);
    long end = System.nanoTime() + STOP_TIMEOUT_MS * 1_000_000;
    for (LocalProcess process : processes) {
      long leftMs = Math.max(1, (end - System.nanoTime()) / 1_000_000);
      if (!process.awaitExit(leftMs)) {
        process.kill();
      }
    }
  }

  private LocalProcess start(String name, List<String> command) {
    if (processes.stream().filter(LocalProcess::isAlive).count() >= MAX_PROCESSES) {
      throw new BenchException("more than " + MAX_PROCESSES + " processes");
    }
    try {
      LocalProcess process = LocalProcess.start(name, command, folder);
      processes.add(process);
      return process;
    } catch (IOException e) {
      throw new BenchException("cannot start " + name + ": " + e.getMessage());
    }
  }

  private List<String> java(String heap, String module) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(heap, "-XX:+UseSerialGC", "-XX:+PerfDisableSharedMem", "-Xss256k"));
    // Short-lived processes: the second compiler tier would cost more than it gains.
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-cp", jar(module).toString()));
    return command;
  }

  /** Returns the jar of a module with all its libraries. */
  Path jar(String module) {
    Path target = root.resolve("target").resolve(module);
    try (Stream<Path> files = Files.list(target)) {
      return files
          .filter(f -> f.getFileName().toString().endsWith("-all.jar"))
          .findFirst()
          .orElseThrow(() -> new BenchException("no *-all.jar in " + target));
    } catch (IOException e) {
      throw new BenchException("cannot read " + target + ": " + e.getMessage());
    }
  }

  private Path write(String name, JsonNode settings) {
    try {
      Path file = folder.resolve(name + ".json");
      JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), settings);
      return file;
    } catch (IOException e) {
      throw new BenchException("cannot write the settings of " + name + ": " + e.getMessage());
    }
  }
}
