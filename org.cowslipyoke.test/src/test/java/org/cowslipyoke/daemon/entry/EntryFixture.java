package org.cowslipyoke.daemon.entry;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.CallPattern;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.config.Configuration.Service;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.daemon.relay.CallerBudget;
import org.cowslipyoke.daemon.relay.CallerLimits;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.daemon.runtime.Settings;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.platform.ObjectStore;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.platform.WeightStore;
import org.cowslipyoke.relay.ConnectionSlots;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Digests;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** An entry on an ephemeral port with fake server daemons and three organisations. */
final class EntryFixture {

  static final long BODY_TIMEOUT_MS = 300;
  private static final long TICK_MS = 10;

  /** Memory for callers; four bodies of the maximum size. */
  static final int CALLER_BYTES = 4 << 16;

  private static final int MAX_CONNECTIONS = 64;

  static final String BODY =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  final ManualClock clock = new ManualClock();
  final FakeTable table = new FakeTable(clock);
  final FakeServers servers = new FakeServers();
  final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  final ConfigurationHolder configuration = new ConfigurationHolder();
  final PauseDetector pauses = new PauseDetector(clock);
  final EntryRole role;
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
  private final ScheduledFuture<?> ticks;
  private final ExecutorService workers = Executors.newFixedThreadPool(4);
  private final Server server = new Server();
  private final CallerBudget callers =
      new CallerBudget(
          clock,
          new CallerLimits(CALLER_BYTES, ConnectionSlots.Bounds.of(MAX_CONNECTIONS)),
          meters);
  private final ServerConnector connector = callers.connector(server, new HttpConfiguration());
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  EntryFixture() throws Exception {
    this(BODY_TIMEOUT_MS);
  }

  /** Starts an entry with another time limit for bodies, in milliseconds. */
  EntryFixture(long bodyTimeoutMs) throws Exception {
    configuration.offer(configuration());
    role = new EntryRole(context(), bodyTimeoutMs);
    ticks = scheduler.scheduleAtFixedRate(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
    server.addConnector(connector);
    server.setHandler(callers.wrap(role.httpHandler()));
    server.start();
    role.start();
    await(role::isReady);
  }

  private static Organisation organisation(String name, double rate) {
    String hash = Digests.sha256Hex("key-" + name);
    return new Organisation(name, List.of(hash), 1, rate, 100, 0);
  }

  private static Configuration configuration() {
    Service book = new Service("book", "/book", "g", List.of(new CallPattern("POST", "/slots")));
    Places places = new Places(Map.of(), Map.of(), Map.of(), Map.of("book", book));
    return new Configuration(
        1,
        Map.of(),
        Map.of(
            "alpha", organisation("alpha", 1_000),
            "beta", organisation("beta", 1_000),
            "small", organisation("small", 1)),
        Map.of("m", new Model("m", "g", "v1", List.of(), 64)),
        places,
        new Limits(1, 1, 0, 1, 60_000, 1 << 16));
  }

  private DaemonContext context() {
    Vm vm = new Vm("server-1", "127.0.0.1", 1, Role.SERVER, "fd", "g", State.LIVE);
    VmList vms =
        new VmList() {
          @Override
          public Either<Failure, Optional<Vm>> find(String name) {
            return Either.right(Optional.empty());
          }

          @Override
          public Either<Failure, List<Vm>> list() {
            return Either.right(List.of(vm));
          }
        };
    Map<String, byte[]> stored = new ConcurrentHashMap<>();
    ObjectStore objects =
        new ObjectStore() {
          @Override
          public Either<Failure, Boolean> put(String key, byte[] bytes) {
            stored.put(key, bytes);
            return Either.right(true);
          }

          @Override
          public Either<Failure, Optional<byte[]>> get(String key) {
            return Either.right(Optional.ofNullable(stored.get(key)));
          }
        };
    Settings settings =
        new Settings(
            "entry-1",
            "entry",
            "fd",
            new Settings.Listen("127.0.0.1", 0, 0),
            new Settings.Platform("", "", "", ""),
            null,
            "cost",
            0,
            0);
    return new DaemonContext(
        settings,
        clock,
        configuration,
        new SuspectList(),
        pauses,
        table,
        objects,
        vms,
        weights(),
        servers,
        scheduler,
        workers,
        meters);
  }

  private static WeightStore weights() {
    return model -> Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "not used"));
  }

  private void tick() {
    clock.advance(TICK_MS);
    pauses.tick();
  }

  int port() {
    return connector.getLocalPort();
  }

  HttpRequest.Builder request(String path, String organisation, String... headers) {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path))
            .timeout(Duration.ofSeconds(20))
            .header("Authorization", "Bearer key-" + organisation);
    for (int i = 0; i < headers.length; i += 2) {
      b.header(headers[i], headers[i + 1]);
    }
    return b;
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Sends a model request. */
  HttpResponse<String> chat(String organisation, String body, String... headers) throws Exception {
    HttpRequest.BodyPublisher b = HttpRequest.BodyPublishers.ofString(body);
    return send(request(EntryHandler.CHAT_PATH, organisation, headers).POST(b));
  }

  /** Waits for a condition, at most 20 s. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + 20_000_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not become true within 20 s");
      }
      Thread.sleep(5);
    }
  }

  static boolean hasError(HttpResponse<String> r, ErrorKind kind) {
    String text = "\"kind\":\"" + kind.wireName() + "\"";
    return r.statusCode() == kind.status() && r.body().contains(text);
  }

  void close() throws Exception {
    ticks.cancel(false);
    role.stop();
    server.stop();
    scheduler.shutdownNow();
    workers.shutdownNow();
  }
}
