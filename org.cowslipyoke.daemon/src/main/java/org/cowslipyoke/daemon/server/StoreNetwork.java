package org.cowslipyoke.daemon.server;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cowslipyoke.admission.LinkBudget;
import org.cowslipyoke.admission.LinkBudget.Purpose;
import org.cowslipyoke.blocks.BlockPlacement;
import org.cowslipyoke.blocks.StoreLinks;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.StoreGroup;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;

/** The known store VMs with a client and a link budget for each. Thread-safe. */
final class StoreNetwork {

  /** Link budget for a store group that is not in the configuration, in bytes per second. */
  private static final long DEFAULT_BYTES_PER_SECOND = 1 << 20;

  /** Interval at which a waiting transfer polls the link budget, in nanoseconds. */
  private static final long BUDGET_POLL_NS = 2_000_000;

  private record Link(StoreVm client, LinkBudget budget) {}

  private final Clock clock;
  private final ConfigurationHolder configuration;
  private final Function<Vm, StoreVm> clients;
  private final RandomGenerator random;
  private final ServerMetrics metrics;
  private final Map<Vm, Link> links = new ConcurrentHashMap<>();
  private volatile int servers = 1;
  private volatile BlockPlacement placement = new BlockPlacement(List.of(), 1);

  StoreNetwork(
      Clock clock,
      ConfigurationHolder configuration,
      Function<Vm, StoreVm> clients,
      RandomGenerator random,
      ServerMetrics metrics) {
    this.clock = clock;
    this.configuration = configuration;
    this.clients = clients;
    this.random = random;
    this.metrics = metrics;
  }

  BlockPlacement placement() {
    return placement;
  }

  /**
   * Returns the number of servers in this server's group, which share the quotas of organisations.
   */
  int servers() {
    return servers;
  }

  /**
   * Reads the store VMs from the VM list; while the list is unavailable, the known ones stay in
   * use.
   */
  void refresh(VmList vms, String group) {
    vms.list().forEach(all -> update(all, group));
  }

  private void update(List<Vm> all, String group) {
    long peers =
        all.stream().filter(v -> v.role() == Role.SERVER && v.group().equals(group)).count();
    servers = (int) Math.max(1, peers);
    Map<String, StoreGroup> stores =
        configuration.current().map(Configuration::places).map(p -> p.stores()).orElse(Map.of());
    List<Vm> known = all.stream().filter(v -> v.role() == Role.STORE).toList();
    int copies = 1;
    for (Vm v : known) {
      StoreGroup store = stores.get(v.group());
      if (store != null) {
        copies = Math.max(copies, store.copies());
        link(v, store.linkBytesPerSecond()).budget().configure(store.linkBytesPerSecond());
      }
    }
    placement = new BlockPlacement(known, copies);
    links.keySet().retainAll(known);
  }

  /**
   * Returns access to the store VMs for one purpose.
   *
   * @param untilMs monotonic time until which a transfer may wait for link budget, in milliseconds
   */
  StoreLinks access(Purpose purpose, long untilMs) {
    return new LinkAccess(purpose, untilMs);
  }

  /** Announces an interactive import on all links. */
  void expectInteractive() {
    links.values().forEach(l -> l.budget().announceInteractiveImport());
  }

  /** Withdraws the announcement of an interactive import. */
  void interactiveDone() {
    links.values().forEach(l -> l.budget().withdrawInteractiveImport());
  }

  private Link link(Vm vm) {
    return link(vm, DEFAULT_BYTES_PER_SECOND);
  }

  private Link link(Vm vm, long bytesPerSecond) {
    return links.computeIfAbsent(
        vm, v -> new Link(clients.apply(v), new LinkBudget(clock, bytesPerSecond, random)));
  }

  private final class LinkAccess implements StoreLinks {

    private final Purpose purpose;
    private final long untilMs;

    LinkAccess(Purpose purpose, long untilMs) {
      this.purpose = purpose;
      this.untilMs = untilMs;
    }

    @Override
    public StoreVm client(Vm vm) {
      return link(vm).client();
    }

    @Override
    public boolean isOpen(Vm vm) {
      return link(vm).budget().isOpen();
    }

    @Override
    public double rate(Vm vm) {
      return link(vm).budget().rate();
    }

    @Override
    public boolean acquire(Vm vm, long bytes) {
      LinkBudget budget = link(vm).budget();
      while (!budget.tryAcquire(purpose, bytes)) {
        if (clock.nowMs() >= untilMs || !budget.isOpen()) {
          return false;
        }
        LockSupport.parkNanos(BUDGET_POLL_NS);
        if (Thread.currentThread().isInterrupted()) {
          return false;
        }
      }
      return true;
    }

    @Override
    public void succeeded(Vm vm, long bytes, long tookMs) {
      link(vm).budget().succeeded(bytes, tookMs);
      boolean in = purpose == Purpose.INTERACTIVE_IMPORT;
      metrics.countLinkBytes(in ? "import" : "export", vm.vm(), bytes);
    }

    @Override
    public void onResponse(Vm vm) {
      link(vm).budget().onResponse();
    }

    @Override
    public void failed(Vm vm) {
      link(vm).budget().failed();
    }
  }
}
