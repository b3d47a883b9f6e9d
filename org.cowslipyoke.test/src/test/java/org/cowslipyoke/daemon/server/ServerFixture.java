package org.cowslipyoke.daemon.server;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.config.Configuration.StoreGroup;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.daemon.runtime.Settings;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.FakeEngine;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.FaultyStoreVm;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Probe;
import org.cowslipyoke.message.Message.Start;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.platform.ObjectStore;
import org.cowslipyoke.platform.PlainService;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.suspect.SuspectList;
import org.jspecify.annotations.Nullable;

/** A server role with fake dependencies and a manual clock. */
final class ServerFixture implements AutoCloseable {

  final ManualClock clock = new ManualClock();
  final FakeEngine engine = new FakeEngine();
  final ConfigurationHolder configuration = new ConfigurationHolder();
  final PauseDetector pauses = new PauseDetector(clock);
  final MeterRegistry meters = new SimpleMeterRegistry();
  final Map<String, FaultyStoreVm> stores = new HashMap<>();
  final List<Vm> vms = new ArrayList<>();
  final ServerRole role;

  private final ExecutorService workers = Executors.newFixedThreadPool(8);
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
  private long version;

  ServerFixture(@Nullable PlainService service) {
    setDomainState(DomainState.IN);
    vms.add(server(State.LIVE));
    Settings settings =
        new Settings(
            "server-1",
            "server",
            "golega",
            new Settings.Listen("127.0.0.1", 0, 0),
            new Settings.Platform("", "", "", ""),
            new Settings.Backend("assistente", service == null ? "engine" : null, null),
            "",
            0,
            0);
    DaemonContext context =
        new DaemonContext(
            settings,
            clock,
            configuration,
            new SuspectList(),
            pauses,
            new FakeTable(clock),
            new UnavailableObjectStore(),
            new Vms(),
            model -> Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "none")),
            (host, port, handler) -> {
              throw new IllegalStateException("a server opens no stream");
            },
            scheduler,
            workers,
            meters);
    BackendClients backends =
        new BackendClients(
            service == null ? engine : null,
            service,
            vm -> Optional.ofNullable(stores.get(vm.vm())).orElseThrow(),
            new Random(3));
    role = new ServerRole(context, backends, () -> {});
    poll();
  }

  ServerFixture() {
    this(null);
  }

  /** Adds a store VM to the list. */
  FaultyStoreVm addStore(String name, String domain) {
    FaultyStoreVm store = new FaultyStoreVm();
    stores.put(name, store);
    vms.add(new Vm(name, "127.0.0.1", 1, Role.STORE, domain, "memoria", State.LIVE));
    role.readStores();
    return store;
  }

  static Vm server(State state) {
    return new Vm("server-1", "127.0.0.1", 1, Role.SERVER, "golega", "assistente", state);
  }

  void setDomainState(DomainState state) {
    version++;
    configuration.offer(
        new Configuration(
            version,
            Map.of("places", version),
            Map.of("org", new Organisation("org", List.of(), 1, 10, 10, 1_000)),
            Map.of(),
            new Configuration.Places(
                Map.of("golega", state),
                Map.of(),
                Map.of("memoria", new StoreGroup("memoria", 2, 10_000_000)),
                Map.of()),
            new Configuration.Limits(1, 1, 1, 1, 60_000, 1 << 20)));
  }

  /** Polls the engine once. */
  void poll() {
    role.engineComponents().ifPresent(e -> e.monitor().poll());
  }

  /** Completes runs until the server is warm, that is, its allowance is 8. */
  ServerFixture warmUp() {
    for (int i = 0; role.admission().orElseThrow().allowance() < 8; i++) {
      RecordingStream s = startRun("warm-" + i);
      int number = engine.generations().size() - 1;
      engine.finish(number);
      s.next(Started.class);
      s.next(End.class);
      await(() -> role.running() == 0 && role.admission().orElseThrow().active() == 0);
    }
    return this;
  }

  /** Starts a request and waits until it is in the engine. */
  RecordingStream startRun(String id) {
    int before = engine.generations().size();
    RecordingStream stream = queueRun(id);
    await(() -> engine.generations().size() > before);
    return stream;
  }

  /** Starts a request and waits until it is queued. */
  RecordingStream queueRun(String id) {
    RecordingStream stream = new RecordingStream(role);
    int before = role.running();
    stream.deliver(start(id, reserve(stream, id)));
    await(() -> role.running() > before);
    return stream;
  }

  long reserve(RecordingStream stream, String id) {
    return stream.deliver(probe(id)).next(Offer.class).reservationId();
  }

  static Probe probe(String id) {
    byte[] prompt = prompt(id);
    return new Probe(
        id,
        "org",
        "m",
        "",
        "v1",
        "digest-" + id,
        "interactive",
        60_000,
        100,
        BlockChain.tokens(prompt.length),
        keys(id),
        false);
  }

  static Start start(String id, long reservation) {
    return new Start(
        id,
        0,
        reservation,
        "org",
        "m",
        "",
        "v1",
        "digest-" + id,
        "interactive",
        100,
        prompt(id),
        new byte[0],
        0,
        false,
        60_000);
  }

  /** Returns a prompt of three full blocks and 10 more bytes. */
  static byte[] prompt(String id) {
    return (id + " ")
        .repeat(1 + 3 * BlockChain.BLOCK_BYTES / id.length())
        .substring(0, 3 * BlockChain.BLOCK_BYTES + 10)
        .getBytes(StandardCharsets.UTF_8);
  }

  static List<BlockKey> keys(String id) {
    return BlockChain.keys("org", "m", "v1", "", prompt(id));
  }

  /** Waits for a condition, at most 10 s. */
  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition not met within 10 s");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    role.stop();
    workers.shutdownNow();
    scheduler.shutdownNow();
  }

  private final class Vms implements VmList {
    @Override
    public Either<Failure, Optional<Vm>> find(String vm) {
      return Either.right(vms.stream().filter(v -> v.vm().equals(vm)).findFirst());
    }

    @Override
    public Either<Failure, List<Vm>> list() {
      return Either.right(List.copyOf(vms));
    }
  }

  private static final class UnavailableObjectStore implements ObjectStore {
    @Override
    public Either<Failure, Boolean> put(String key, byte[] bytes) {
      return Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "none"));
    }

    @Override
    public Either<Failure, Optional<byte[]>> get(String key) {
      return Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "none"));
    }
  }
}
