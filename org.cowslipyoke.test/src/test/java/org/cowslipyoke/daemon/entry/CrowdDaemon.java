package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.daemon.runtime.DaemonRuntime;
import org.cowslipyoke.daemon.runtime.PlatformClients;
import org.cowslipyoke.daemon.runtime.Role;
import org.cowslipyoke.daemon.runtime.Settings;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.platform.ObjectStore;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Digests;

/** Program of {@link DaemonCrowdTest}: an entry daemon whose platform and servers are fakes. */
final class CrowdDaemon {

  /** Number of tokens of a response for {@link #LONG_MODEL}, which have 4 KiB each. */
  private static final int LONG_TOKENS = 1_500;

  static final String LONG_MODEL = "long";

  private static final String TOKEN = "t".repeat(4 << 10);

  /** Computed once, because the heap is small. */
  private static final long LONG_CRC =
      Digests.crc32c(TOKEN.repeat(LONG_TOKENS).getBytes(StandardCharsets.UTF_8));

  private CrowdDaemon() {}

  /** Starts the daemon on the given ports for HTTP and frames; runs until the process is ended. */
  public static void main(String[] args) throws Exception {
    Clock clock = Clock.system();
    Settings settings =
        new Settings(
            "entry-1",
            "entry",
            "fd",
            new Settings.Listen("127.0.0.1", Integer.parseInt(args[0]), Integer.parseInt(args[1])),
            new Settings.Platform("", "", "", ""),
            null,
            "cost",
            0,
            0);
    PlatformClients platform =
        new PlatformClients(
            new FakeTable(clock),
            objects(),
            vms(),
            m -> Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "not used")),
            () -> {});
    DaemonRuntime runtime = new DaemonRuntime(settings, clock, platform, CrowdDaemon::role);
    runtime.configuration().offer(configuration());
    runtime.start();
    Thread.currentThread().join();
  }

  private static Role role(DaemonContext c) {
    FakeServers servers = new FakeServers();
    servers.on(Message.Start.class, (id, m) -> completion(id, (Message.Start) m));
    return new EntryRole(
        new DaemonContext(
            c.settings(),
            c.clock(),
            c.configuration(),
            c.suspects(),
            c.pauses(),
            c.table(),
            c.objects(),
            c.vms(),
            c.weights(),
            servers,
            c.scheduler(),
            c.workers(),
            c.meters()));
  }

  private static List<Message> completion(String id, Message.Start start) {
    if (!start.toString().contains(LONG_MODEL)) {
      return FakeServers.completion(id);
    }
    List<Message> all = new ArrayList<>(List.of(new Message.Started("v1", 4, 1)));
    for (int i = 0; i < LONG_TOKENS; i++) {
      all.add(new Message.Tokens(id, i, List.of(TOKEN)));
    }
    all.add(new Message.End(id, LONG_TOKENS, LONG_CRC, "stop"));
    return all;
  }

  private static Organisation organisation(String name) {
    String hash = Digests.sha256Hex("key-" + name);
    return new Organisation(name, List.of(hash), 1, 100_000, 100_000, 0);
  }

  private static Model model(String name) {
    return new Model(name, "g", "v1", List.of(), 2 * LONG_TOKENS);
  }

  private static Configuration configuration() {
    return new Configuration(
        1,
        Map.of(),
        Map.of("crowd", organisation("crowd"), "alpha", organisation("alpha")),
        Map.of("m", model("m"), LONG_MODEL, model(LONG_MODEL)),
        new Places(Map.of(), Map.of(), Map.of(), Map.of()),
        new Limits(1, 1, 0, 1, 60_000, DaemonCrowdTest.MAX_BODY));
  }

  private static VmList vms() {
    Vm vm = new Vm("server-1", "127.0.0.1", 1, VmList.Role.SERVER, "fd", "g", VmList.State.LIVE);
    return new VmList() {
      @Override
      public Either<Failure, Optional<Vm>> find(String name) {
        return Either.right(Optional.empty());
      }

      @Override
      public Either<Failure, List<Vm>> list() {
        return Either.right(List.of(vm));
      }
    };
  }

  private static ObjectStore objects() {
    return new ObjectStore() {
      @Override
      public Either<Failure, Boolean> put(String key, byte[] bytes) {
        return Either.right(true);
      }

      @Override
      public Either<Failure, Optional<byte[]>> get(String key) {
        return Either.right(Optional.empty());
      }
    };
  }
}
