package org.cowslipyoke.daemon.runtime;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.transport.DocumentVersions;
import org.cowslipyoke.transport.FrameNode;

/**
 * A process with a document exchange over a real frame transport and with a separate manual clock.
 */
final class ExchangeNode implements AutoCloseable {

  /** VM list that the processes of a test share. */
  static final class Vms implements VmList {

    private final List<Vm> all = new CopyOnWriteArrayList<>();

    @Override
    public Either<Failure, Optional<Vm>> find(String vm) {
      return Either.right(all.stream().filter(v -> v.vm().equals(vm)).findFirst());
    }

    @Override
    public Either<Failure, List<Vm>> list() {
      return Either.right(List.copyOf(all));
    }

    void remove(String vm) {
      all.removeIf(v -> v.vm().equals(vm));
    }

    void addAll(Vms others) {
      all.addAll(others.all);
    }
  }

  final ManualClock clock = new ManualClock();
  final ConfigurationHolder configuration = new ConfigurationHolder();
  final SuspectList suspects = new SuspectList();
  final PauseDetector pauses = new PauseDetector(clock);
  final DocumentExchange exchange;
  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final FrameNode transport;

  ExchangeNode(String vm, VmList.Role role, TransactionalTable table, Vms vms, long seed) {
    Random random = new Random(seed);
    this.exchange =
        new DocumentExchange(
            role == VmList.Role.ENTRY,
            clock,
            pauses,
            table,
            new PeerDirectory(vm, vms, clock, random),
            workers,
            random,
            List.of(new ConfigurationReplica(configuration), new SuspectListReplica(suspects)));
    this.transport =
        FrameNode.builder()
            .hello(new Hello(vm, role.name(), "golega"))
            .versions(
                new DocumentVersions() {
                  @Override
                  public long configVersion() {
                    return configuration.headVersion();
                  }

                  @Override
                  public long suspectsVersion() {
                    return suspects.current().version();
                  }
                })
            .versionListener(exchange)
            .acceptor(new StreamDispatcher(exchange::handle))
            .build();
    int port = transport.start().get();
    exchange.connect(transport);
    vms.all.add(new VmList.Vm(vm, "127.0.0.1", port, role, "golega", "", VmList.State.LIVE));
  }

  /** Advances the clock of this process by one tick and runs the periodic work. */
  void tick() {
    clock.advance(PauseDetector.TICK_MS);
    exchange.tick();
  }

  @Override
  public void close() {
    transport.close();
    workers.shutdownNow();
  }
}
