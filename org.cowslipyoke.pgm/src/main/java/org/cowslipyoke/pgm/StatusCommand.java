package org.cowslipyoke.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.config.api.ReadConfiguration;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.pgm.Arguments.CommandException;
import org.cowslipyoke.pgm.Arguments.UsageException;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.Vm;
import org.jspecify.annotations.Nullable;

/** Implements the command {@code status}, which prints what each daemon in the VM list reports. */
final class StatusCommand {

  /** Time-out of one query; all daemons are queried concurrently. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Arguments args;
  private final Output out;
  private final Main.PlatformClients platform;

  StatusCommand(Arguments args, Output out, Main.PlatformClients platform) {
    this.args = args;
    this.out = out;
    this.platform = platform;
  }

  private record DaemonReport(Vm vm, @Nullable JsonNode ready, Metrics metrics) {}

  void call() throws UsageException, CommandException {
    args.requireAtMost(1);
    Map<String, Integer> ports = new HashMap<>();
    Optional<Long> commonPort = args.number(Messages.HTTP_PORT);
    if (args.has(Messages.READY_LINES)) {
      ports.putAll(readPorts(args.required(Messages.READY_LINES)));
    } else if (commonPort.isEmpty()) {
      throw new UsageException(Messages.MISSING_PORTS);
    }
    Either<Failure, List<Vm>> vms = platform.vms().apply(args.url(Messages.VMS)).list();
    if (vms.isLeft()) {
      throw new CommandException(vms.getLeft());
    }
    HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    List<CompletableFuture<DaemonReport>> pending =
        vms.get().stream()
            .filter(v -> v.role() != Role.STORE)
            .map(
                v ->
                    queryDaemon(
                        client, v, ports.getOrDefault(v.vm(), commonPort.orElse(0L).intValue())))
            .toList();
    print(pending.stream().map(CompletableFuture::join).toList(), headVersion());
  }

  /** Returns the document version in the table, empty without {@code --table} or in an outage. */
  private Optional<Long> headVersion() throws UsageException {
    return args.has(Messages.TABLE)
        ? ReadConfiguration.from(platform.table().apply(args.url(Messages.TABLE)))
            .headVersion()
            .toJavaOptional()
        : Optional.empty();
  }

  private static Map<String, Integer> readPorts(String file) throws CommandException {
    Map<String, Integer> ports = new HashMap<>();
    for (String line : Arguments.readFile(file).split("\n", -1)) {
      try {
        JsonNode n = MAPPER.readTree(line);
        if (n.path("event").asText().equals("ready") && n.has("httpPort")) {
          ports.put(n.path("vm").asText(), n.path("httpPort").asInt());
        }
      } catch (IOException e) {
        // The file may contain other output of the processes.
      }
    }
    return ports;
  }

  private static CompletableFuture<DaemonReport> queryDaemon(HttpClient client, Vm vm, int port) {
    if (port == 0) {
      return CompletableFuture.completedFuture(new DaemonReport(vm, null, Metrics.parse("")));
    }
    String base = "http://" + vm.host() + ":" + port;
    CompletableFuture<String> ready = get(client, base + "/readyz");
    CompletableFuture<String> metrics = get(client, base + "/metrics");
    return ready
        .thenCombine(metrics, (r, m) -> new DaemonReport(vm, parse(r), Metrics.parse(m)))
        .exceptionally(e -> new DaemonReport(vm, null, Metrics.parse("")));
  }

  private static CompletableFuture<String> get(HttpClient client, String uri) {
    HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(TIMEOUT).build();
    return client.sendAsync(request, BodyHandlers.ofString()).thenApply(r -> r.body());
  }

  private static @Nullable JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException e) {
      return null;
    }
  }

  private void print(List<DaemonReport> reports, Optional<Long> headVersion) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    headVersion.ifPresent(v -> json.put("tableVersion", v));
    var array = json.putArray("daemons");
    TextTable daemons =
        new TextTable(
            "vm", "role", "group", "domain", "state", "ready", "config", "running", "detail");
    Map<String, String> domains = new LinkedHashMap<>();
    for (DaemonReport r : reports) {
      ObjectNode n = array.addObject().put("vm", r.vm().vm()).put("listed", r.vm().state().name());
      JsonNode ready = r.ready();
      n.set("ready", ready);
      n.set("metrics", r.metrics().toJson());
      String state = ready == null ? "?" : ready.path("domainState").asText("?");
      domains.merge(r.vm().failureDomain(), state, StatusCommand::mergeStates);
      daemons.add(
          r.vm().vm(),
          r.vm().role().name().toLowerCase(java.util.Locale.ROOT),
          r.vm().group(),
          r.vm().failureDomain(),
          r.vm().state().name().toLowerCase(java.util.Locale.ROOT),
          ready == null ? "no answer" : readiness(ready),
          ready == null ? "-" : ready.path("configVersion").asText(),
          ready == null ? "-" : ready.path("running").asText(),
          r.metrics().summary());
    }
    List<String> lines = new ArrayList<>();
    headVersion.ifPresent(v -> lines.add("configuration in the table: version " + v));
    TextTable states = new TextTable("failure domain", "state");
    domains.forEach(states::add);
    lines.addAll(states.lines());
    lines.add("");
    lines.addAll(daemons.lines());
    out.printResult(json, lines);
  }

  private static String readiness(JsonNode ready) {
    return ready.path("ready").asBoolean() ? "yes" : ready.path("reason").asText();
  }

  /** While a change propagates, daemons of one failure domain may report different states. */
  private static String mergeStates(String a, String b) {
    if (a.equals(b) || b.equals("?")) {
      return a;
    }
    return a.equals("?") ? b : "changing";
  }
}
