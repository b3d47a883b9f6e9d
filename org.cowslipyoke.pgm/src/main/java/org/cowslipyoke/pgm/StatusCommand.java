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

/** The command {@code status}: what each daemon of the VM list reports. */
final class StatusCommand {

  /** Time in which a daemon must answer; all are asked at once. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Arguments args;
  private final Output out;
  private final Main.Platform platform;

  StatusCommand(Arguments args, Output out, Main.Platform platform) {
    this.args = args;
    this.out = out;
    this.platform = platform;
  }

  private record Report(Vm vm, @Nullable JsonNode ready, Metrics metrics) {}

  void call() throws UsageException, CommandException {
    args.noMoreThan(1);
    Map<String, Integer> ports = new HashMap<>();
    Optional<Long> common = args.number(Texts.HTTP_PORT);
    if (args.has(Texts.READY_LINES)) {
      ports.putAll(readyLines(args.required(Texts.READY_LINES)));
    } else if (common.isEmpty()) {
      throw new UsageException(Texts.MISSING_PORTS);
    }
    Either<Failure, List<Vm>> vms = platform.vms().apply(args.url(Texts.VMS)).list();
    if (vms.isLeft()) {
      throw new CommandException(vms.getLeft());
    }
    HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    List<CompletableFuture<Report>> asked =
        vms.get().stream()
            .filter(v -> v.role() != Role.STORE)
            .map(v -> ask(client, v, ports.getOrDefault(v.vm(), common.orElse(0L).intValue())))
            .toList();
    print(asked.stream().map(CompletableFuture::join).toList(), headVersion());
  }

  /** Returns the version in the table, empty without {@code --table} or in an outage. */
  private Optional<Long> headVersion() throws UsageException {
    return args.has(Texts.TABLE)
        ? ReadConfiguration.from(platform.table().apply(args.url(Texts.TABLE)))
            .headVersion()
            .toJavaOptional()
        : Optional.empty();
  }

  private static Map<String, Integer> readyLines(String file) throws CommandException {
    Map<String, Integer> ports = new HashMap<>();
    for (String line : Arguments.read(file).split("\n", -1)) {
      try {
        JsonNode n = MAPPER.readTree(line);
        if (n.path("event").asText().equals("ready") && n.has("httpPort")) {
          ports.put(n.path("vm").asText(), n.path("httpPort").asInt());
        }
      } catch (IOException e) {
        // the file may hold other output of the processes
      }
    }
    return ports;
  }

  private static CompletableFuture<Report> ask(HttpClient client, Vm vm, int port) {
    if (port == 0) {
      return CompletableFuture.completedFuture(new Report(vm, null, Metrics.parse("")));
    }
    String base = "http://" + vm.host() + ":" + port;
    CompletableFuture<String> ready = get(client, base + "/readyz");
    CompletableFuture<String> metrics = get(client, base + "/metrics");
    return ready
        .thenCombine(metrics, (r, m) -> new Report(vm, parse(r), Metrics.parse(m)))
        .exceptionally(e -> new Report(vm, null, Metrics.parse("")));
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

  private void print(List<Report> reports, Optional<Long> headVersion) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    headVersion.ifPresent(v -> json.put("tableVersion", v));
    var array = json.putArray("daemons");
    Table daemons =
        new Table("vm", "role", "group", "domain", "state", "ready", "config", "running", "detail");
    Map<String, String> domains = new LinkedHashMap<>();
    for (Report r : reports) {
      ObjectNode n = array.addObject().put("vm", r.vm().vm()).put("listed", r.vm().state().name());
      JsonNode ready = r.ready();
      n.set("ready", ready);
      n.set("metrics", r.metrics().toJson());
      String state = ready == null ? "?" : ready.path("domainState").asText("?");
      domains.merge(r.vm().failureDomain(), state, StatusCommand::both);
      daemons.add(
          r.vm().vm(),
          r.vm().role().name().toLowerCase(java.util.Locale.ROOT),
          r.vm().group(),
          r.vm().failureDomain(),
          r.vm().state().name().toLowerCase(java.util.Locale.ROOT),
          ready == null ? "no answer" : yes(ready),
          ready == null ? "-" : ready.path("configVersion").asText(),
          ready == null ? "-" : ready.path("running").asText(),
          r.metrics().summary());
    }
    List<String> lines = new ArrayList<>();
    headVersion.ifPresent(v -> lines.add("configuration in the table: version " + v));
    Table states = new Table("failure domain", "state");
    domains.forEach(states::add);
    lines.addAll(states.lines());
    lines.add("");
    lines.addAll(daemons.lines());
    out.result(json, lines);
  }

  private static String yes(JsonNode ready) {
    return ready.path("ready").asBoolean() ? "yes" : ready.path("reason").asText();
  }

  /** While a change travels, daemons of one failure domain may report different states. */
  private static String both(String a, String b) {
    if (a.equals(b) || b.equals("?")) {
      return a;
    }
    return a.equals("?") ? b : "changing";
  }
}
