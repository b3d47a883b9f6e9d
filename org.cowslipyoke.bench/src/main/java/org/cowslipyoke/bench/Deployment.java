package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpMethod;

/** A running deployment on loopback: stand-ins of the platform and the daemons. */
final class Deployment implements AutoCloseable {

  static final List<String> SECTIONS = List.of("organisations", "models", "places", "limits");

  private static final String HOST = "127.0.0.1";
  private static final long READY_TIMEOUT_MS = 30_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A server daemon with its backend server. */
  record Server(
      String vm, String failureDomain, LocalProcess daemon, LocalProcess backend, boolean engine) {

    String daemonUrl() {
      return "http://" + HOST + ":" + daemon.awaitReady().path("httpPort").asInt();
    }

    String backendUrl() {
      return url(backend);
    }
  }

  private final DeploymentSpec spec;
  private final LocalProcesses processes;
  private final CallerClient http;
  private final Map<String, LocalProcess> platform = new TreeMap<>();
  private final List<LocalProcess> stores = new ArrayList<>();
  private final List<LocalProcess> entries = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();

  private Deployment(DeploymentSpec spec, LocalProcesses processes, CallerClient http) {
    this.spec = spec;
    this.processes = processes;
    this.http = http;
  }

  /** Starts everything and waits until all daemons are ready. */
  static Deployment start(DeploymentSpec spec, Path root, CallerClient http) {
    Deployment deployment = new Deployment(spec, new LocalProcesses(root), http);
    try {
      deployment.startPlatform();
      deployment.startDaemons();
      deployment.registerVms();
      SECTIONS.parallelStream().forEach(s -> deployment.apply(s, deployment.resource(s + ".json")));
      deployment.awaitReady();
      return deployment;
    } catch (RuntimeException e) {
      deployment.close();
      throw e;
    }
  }

  DeploymentSpec spec() {
    return spec;
  }

  List<Server> servers() {
    return List.copyOf(servers);
  }

  List<LocalProcess> stores() {
    return List.copyOf(stores);
  }

  /** Returns the base URL of an entry, counted from 0. */
  String entryUrl(int i) {
    return "http://" + HOST + ":" + entries.get(i).awaitReady().path("httpPort").asInt();
  }

  String tableUrl() {
    return url(platform("table"));
  }

  Path folder() {
    return processes.folder();
  }

  static String url(LocalProcess standIn) {
    return "http://" + HOST + ":" + standIn.awaitReady().path("port").asInt();
  }

  /** Returns a file of the example configuration as JSON. */
  JsonNode resource(String file) {
    try {
      return JSON.readTree(text(file));
    } catch (IOException e) {
      throw new BenchException("malformed " + file + ": " + e.getMessage());
    }
  }

  String text(String file) {
    String path = "/deployments/" + spec.name() + "/" + file;
    try (InputStream input = Deployment.class.getResourceAsStream(path)) {
      if (input == null) {
        throw new BenchException("no resource " + path);
      }
      return new String(input.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new BenchException("cannot read " + path + ": " + e.getMessage());
    }
  }

  /** Applies a section with the command-line tool, as an operator does. */
  void apply(String section, JsonNode content) {
    try {
      Path file = folder().resolve("apply-" + section + ".json");
      JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), content);
      tool("config", "apply", "--section", section, "--reason", "local run", file.toString());
    } catch (IOException e) {
      throw new BenchException("cannot write section " + section + ": " + e.getMessage());
    }
  }

  /** Runs the command-line tool with the credential of the section's team; returns its output. */
  String tool(String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:+PerfDisableSharedMem"));
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-cp"));
    command.add(processes.jar("org.cowslipyoke.pgm").toString());
    command.add("org.cowslipyoke.pgm.Main");
    command.addAll(List.of(arguments));
    command.addAll(toolOptions(arguments));
    try {
      Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      if (!process.waitFor(30, TimeUnit.SECONDS) || process.exitValue() != 0) {
        throw new BenchException(String.join(" ", arguments) + " failed: " + output);
      }
      return output;
    } catch (IOException e) {
      throw new BenchException("cannot run the tool: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new BenchException("interrupted while the tool runs");
    }
  }

  /** Returns the counters of a stand-in. */
  JsonNode stats(LocalProcess standIn) {
    return admin(standIn, "/admin/stats");
  }

  /** Sets fault switches of a stand-in. */
  void fault(LocalProcess standIn, String switches) {
    String base = "http://" + HOST + ":" + standIn.awaitReady().path("adminPort").asInt();
    CallerClient.Reply reply = http.call(HttpMethod.POST, base + "/admin/faults", switches);
    if (reply.status() != 200) {
      throw new BenchException("cannot set faults of " + standIn.name() + ": " + reply);
    }
  }

  /** Reads from the administrative port of a stand-in. */
  JsonNode admin(LocalProcess standIn, String path) {
    try {
      String base = "http://" + HOST + ":" + standIn.awaitReady().path("adminPort").asInt();
      return JSON.readTree(http.call(HttpMethod.GET, base + path, "").body());
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }

  boolean isReady(LocalProcess daemon) {
    String base = "http://" + HOST + ":" + daemon.awaitReady().path("httpPort").asInt();
    return daemon.isAlive() && http.call(HttpMethod.GET, base + "/readyz", "").status() == 200;
  }

  List<LocalProcess> entries() {
    return List.copyOf(entries);
  }

  /** Returns the status table that the command-line tool prints. */
  String status() {
    try {
      StringBuilder lines = new StringBuilder();
      entries.forEach(e -> lines.append(e.awaitReady()).append('\n'));
      servers.forEach(s -> lines.append(s.daemon().awaitReady()).append('\n'));
      Path file = folder().resolve("ready-lines.txt");
      Files.writeString(file, lines.toString());
      return tool("status", "--vms", url(platform("vms")), "--ready-lines", file.toString());
    } catch (IOException e) {
      throw new BenchException("cannot write the ready lines: " + e.getMessage());
    }
  }

  /** Returns the sum of a counter over all engines that run. */
  long engineCount(String counter) {
    return servers.stream()
        .filter(s -> s.engine() && s.backend().isAlive())
        .mapToLong(s -> stats(s.backend()).path(counter).asLong())
        .sum();
  }

  /** Ends all processes. */
  void stop() {
    processes.close();
  }

  @Override
  public void close() {
    stop();
  }

  private List<String> toolOptions(String... arguments) {
    List<String> options = new ArrayList<>(List.of("--table", tableUrl()));
    for (int i = 0; i + 1 < arguments.length; i++) {
      if (arguments[i].equals("--section")) {
        try {
          Path file = folder().resolve("credential-" + arguments[i + 1] + ".txt");
          Files.writeString(file, text("credentials/" + arguments[i + 1] + ".txt"));
          options.addAll(List.of("--credential-file", file.toString()));
          options.addAll(List.of("--reason", "local deployment", "--who", "launcher"));
        } catch (IOException e) {
          throw new BenchException("cannot write a credential: " + e.getMessage());
        }
      }
    }
    return options;
  }

  private void startPlatform() {
    for (String kind : List.of("table", "objects", "vms", "weights")) {
      platform.put(kind, processes.standIn(kind, kind, StandInSettings.of(kind, spec)));
    }
    for (String store : spec.stores()) {
      stores.add(processes.standIn(store, "store", StandInSettings.of("store", spec)));
    }
    platform.values().forEach(LocalProcess::awaitReady);
    stores.forEach(LocalProcess::awaitReady);
  }

  private void startDaemons() {
    List<LocalProcess> backends = new ArrayList<>();
    for (int i = 0; i < spec.engines() + spec.services(); i++) {
      String kind = i < spec.engines() ? "engine" : "service";
      ObjectNode settings = StandInSettings.of(kind, spec);
      if (i < spec.engines()) {
        settings.put("weightStore", url(platform("weights")));
      }
      backends.add(processes.standIn(kind + "-" + backendNumber(i), kind, settings));
    }
    for (int i = 0; i < spec.entries(); i++) {
      ObjectNode settings = settings("entry-" + (i + 1), "entry", spec.failureDomain(i));
      settings.put("policy", spec.policy());
      entries.add(processes.daemon("entry-" + (i + 1), settings));
    }
    for (int i = 0; i < backends.size(); i++) {
      final boolean engine = i < spec.engines();
      final String group = engine ? spec.group() : spec.serviceGroup();
      final String vm = group + "-" + backendNumber(i);
      String domain = spec.failureDomain(backendNumber(i) - 1);
      ObjectNode settings = settings(vm, "server", domain);
      String url = url(backends.get(i));
      settings.putObject("backend").put("group", group).put(engine ? "engine" : "service", url);
      LocalProcess daemon = processes.daemon(vm, settings);
      servers.add(new Server(vm, domain, daemon, backends.get(i), engine));
    }
    entries.forEach(LocalProcess::awaitReady);
    servers.forEach(s -> s.daemon().awaitReady());
  }

  private LocalProcess platform(String kind) {
    return Objects.requireNonNull(platform.get(kind), kind);
  }

  private int backendNumber(int i) {
    return i < spec.engines() ? i + 1 : i - spec.engines() + 1;
  }

  private ObjectNode settings(String vm, String role, String domain) {
    ObjectNode settings = JSON.createObjectNode();
    settings.put("vm", vm).put("role", role).put("failureDomain", domain);
    settings.putObject("listen").put("host", HOST).put("httpPort", 0).put("framePort", 0);
    ObjectNode urls = settings.putObject("platform");
    platform.forEach((kind, process) -> urls.put(kind, url(process)));
    settings.put("drainDelayMs", 200).put("drainTimeoutMs", 5000);
    return settings;
  }

  private void registerVms() {
    for (int i = 0; i < stores.size(); i++) {
      register(spec.stores().get(i), stores.get(i), "port", "store", i, spec.storeGroup());
    }
    for (int i = 0; i < entries.size(); i++) {
      register(entries.get(i).name(), entries.get(i), "framePort", "entry", i, "");
    }
    for (Server s : servers) {
      String group = s.engine() ? spec.group() : spec.serviceGroup();
      int domain = spec.failureDomains().indexOf(s.failureDomain());
      register(s.vm(), s.daemon(), "framePort", "server", domain, group);
    }
  }

  private void register(
      String vm, LocalProcess process, String port, String role, int domain, String group) {
    ObjectNode row = JSON.createObjectNode();
    row.put("vm", vm).put("host", HOST).put("port", process.awaitReady().path(port).asInt());
    row.put("role", role).put("failureDomain", spec.failureDomain(domain));
    row.put("group", group).put("state", "live");
    String target = url(platform("vms")) + "/admin/vms";
    CallerClient.Reply reply = http.call(HttpMethod.POST, target, row.toString());
    if (reply.status() / 100 != 2) {
      throw new BenchException("cannot register " + vm + ": " + reply);
    }
  }

  private void awaitReady() {
    List<LocalProcess> daemons = new ArrayList<>(entries);
    servers.forEach(s -> daemons.add(s.daemon()));
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
    for (LocalProcess daemon : daemons) {
      while (!isReady(daemon)) {
        if (System.nanoTime() > end) {
          throw new BenchException(daemon.name() + " is not ready; see " + folder());
        }
        pause(50);
      }
    }
  }

  static void pause(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new BenchException("interrupted");
    }
  }
}
