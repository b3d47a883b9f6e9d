package org.cowslipyoke.matrix;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.blocks.BlockPlacement;
import org.cowslipyoke.blocks.BlockReader;
import org.cowslipyoke.blocks.BlockWriter;
import org.cowslipyoke.blocks.StoreLinks;
import org.cowslipyoke.claim.ClaimLedger;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.fake.FakeObjects;
import org.cowslipyoke.fake.FakeStoreVm;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Digests;

/**
 * One deployment on a manual clock: three servers in three failure domains, an entry that is
 * replaced when it dies, two store VMs and a table. Faults are injected at steps of a request.
 */
final class MatrixWorld {

  /** A fault to inject, each time until {@code times} is used up. */
  record Injection(Step step, Fault fault, int times) {}

  private static final long SPREAD_MS = 1_000;
  private static final long FREEZE_MS = 12_000;
  private static final long OUTAGE_MS = 20_000;
  private static final long SLOW_MS = 5_000;

  /** Below the gap that counts as a pause; a shorter interval only adds steps. */
  private static final long TICK_MS = 1_000;

  final ManualClock clock = new ManualClock();
  final Timeline time = new Timeline(clock);
  final FakeTable table = new FakeTable(clock);
  final ClaimLedger ledger = new ClaimLedger(table, new FakeObjects(), clock);
  final SuspectList suspects = new SuspectList();
  final List<MatrixServer> servers = new ArrayList<>();
  final Set<Step> reached = EnumSet.noneOf(Step.class);
  final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> executions = new HashMap<>();
  private final List<Injection> injections;
  private final int[] used;
  private final Map<String, DomainState> domains = new HashMap<>();
  private final Map<Vm, FakeStoreVm> stores = new HashMap<>();
  private final Map<BlockKey, byte[]> blocks = new HashMap<>();
  private final BlockPlacement placement;
  private final BlockReader reader;
  private final BlockWriter writer;
  private long headVersion = 1;
  private long tableDelayMs;
  private long fetchMs = 5;
  MatrixEntry entry;

  MatrixWorld(List<Injection> injections) {
    this.injections = injections;
    this.used = new int[injections.size()];
    for (int i = 0; i < 3; i++) {
      Vm vm = new Vm("s" + i, "127.0.0.1", i, Role.SERVER, "d" + i, "g", State.LIVE);
      servers.add(new MatrixServer(this, vm, suspects));
    }
    for (int i = 0; i < 2; i++) {
      Vm vm = new Vm("store" + i, "127.0.0.1", 10 + i, Role.STORE, "d" + i, "k", State.LIVE);
      stores.put(vm, new FakeStoreVm());
    }
    placement = new BlockPlacement(List.copyOf(stores.keySet()), 2);
    reader = new BlockReader(new DirectLinks(), clock);
    writer = new BlockWriter(new DirectLinks(), clock);
    byte[] text = "long history ".repeat(700).getBytes(StandardCharsets.UTF_8);
    for (BlockKey k : BlockChain.keys("org-a", "m", "v1", "", text)) {
      blocks.put(k, k.hex().repeat(100).getBytes(StandardCharsets.US_ASCII));
    }
    exportBlocks();
    entry = new MatrixEntry(this);
    tick();
  }

  private void tick() {
    servers.forEach(MatrixServer::tick);
    time.after(TICK_MS, this::tick);
  }

  /** Notes that a request is about to take a step and injects the faults that are due. */
  void reach(Step step, MatrixServer server) {
    reached.add(step);
    for (int i = 0; i < injections.size(); i++) {
      Injection n = injections.get(i);
      if (n.step() == step && used[i] < n.times()) {
        used[i]++;
        inject(n.fault(), server);
      }
    }
  }

  private void inject(Fault fault, MatrixServer server) {
    switch (fault) {
      case STORE_VM_DIES -> stores.values().stream().findFirst().ifPresent(FakeStoreVm::die);
      case STORE_VM_FULL -> stores.values().forEach(FakeStoreVm::fill);
      case LINK_SLOW -> fetchMs = SLOW_MS;
      case ENTRY_DIES -> entry.die();
      case ENTRY_PAUSED -> entry.freeze(FREEZE_MS);
      case SERVER_DAEMON_DIES -> killServer(server);
      case SERVER_PAUSED -> server.freeze(FREEZE_MS);
      case ENGINE_COLD -> server.engineCold();
      case ENGINE_CRASHED_BY_REQUEST -> server.crashEngine();
      case TABLE_DOWN -> outage();
      case TABLE_SLOW -> tableDelayMs = SLOW_MS;
      case TABLE_ANSWER_LOST -> table.loseResponses(1);
      case SILENT_CONNECTION -> entry.silence(server);
      case DOMAIN_OUT -> takeOut(server);
      case DOMAIN_OUT_AND_BACK -> {
        takeOut(server);
        time.after(2 * SPREAD_MS, () -> bringBack(server));
      }
      case SERVER_LEAVES -> {
        server.closeToNewWork();
        time.after(SPREAD_MS, () -> server.standing.setLeaving(true));
      }
      case ENTRY_STOPS -> entry.stopAdmitting();
      case SERVER_STOPS -> server.standing.stop();
      case OPERATORS_RACE -> race();
      default -> throw new IllegalArgumentException(fault.name());
    }
  }

  private void outage() {
    table.setOutage(true);
    time.after(OUTAGE_MS, () -> table.setOutage(false));
  }

  private void killServer(MatrixServer server) {
    server.dead = true;
    time.after(1, () -> entry.serverDied(server));
  }

  private void takeOut(MatrixServer server) {
    server.closeToNewWork();
    domains.put(server.vm.failureDomain(), DomainState.OUT);
    spread();
  }

  private void bringBack(MatrixServer server) {
    server.openToNewWork();
    domains.remove(server.vm.failureDomain());
    spread();
  }

  /** Two changes of which only the second is accepted everywhere; neither concerns the request. */
  private void race() {
    spread();
    spread();
  }

  /** Puts the next version in force: at the servers after a second, out of order. */
  private void spread() {
    headVersion++;
    Configuration next = configuration();
    for (int i = 0; i < servers.size(); i++) {
      MatrixServer s = servers.get(i);
      time.after(SPREAD_MS - i, () -> s.configuration.offer(next));
    }
  }

  Configuration configuration() {
    Limits limits = new Limits(1, 0.01, 0.0001, 1, 30_000, 1 << 20);
    Places places = new Places(Map.copyOf(domains), Map.of(), Map.of(), Map.of());
    return new Configuration(headVersion, Map.of(), Map.of(), Map.of(), places, limits);
  }

  long tableDelayMs() {
    return tableDelayMs;
  }

  long fetchMs() {
    return fetchMs;
  }

  void toEntry(MatrixServer from, long channel, Message message) {
    time.after(1, () -> entry.receive(from, channel, message));
  }

  void executed(String requestId) {
    executions.merge(requestId, 1, Integer::sum);
  }

  int executions(String requestId) {
    return executions.getOrDefault(requestId, 0);
  }

  void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(violation);
    }
  }

  /**
   * Reads all blocks as a fetch does; a block that is returned must be the one that was written.
   */
  void fetchBlocks() {
    List<BlockKey> keys = List.copyOf(blocks.keySet());
    reader
        .find(keys, placement)
        .forEach(
            (k, copies) ->
                reader
                    .read(k, copies)
                    .ifPresent(
                        b ->
                            check(
                                Arrays.equals(b.bytes(), blocks.get(k)),
                                "a wrong block was used")));
  }

  void exportBlocks() {
    blocks.forEach((k, b) -> placement.writers(k).forEach(vm -> writer.write(k, b, vm)));
  }

  static String piece(byte[] prompt, long index) {
    return " w" + Long.toHexString(Digests.crc32c(prompt) ^ index);
  }

  static String expectedAnswer(byte[] prompt) {
    StringBuilder b = new StringBuilder();
    for (int i = 0; i < MatrixServer.ANSWER_TOKENS; i++) {
      b.append(piece(prompt, i));
    }
    return b.toString();
  }

  static byte[] expectedReply(String requestId) {
    return ("booked " + requestId).getBytes(StandardCharsets.UTF_8);
  }

  private final class DirectLinks implements StoreLinks {
    @Override
    public StoreVm client(Vm vm) {
      return stores.get(vm);
    }

    @Override
    public boolean isOpen(Vm vm) {
      return true;
    }

    @Override
    public double rate(Vm vm) {
      return 1_000_000;
    }

    @Override
    public boolean acquire(Vm vm, long bytes) {
      return true;
    }

    @Override
    public void succeeded(Vm vm, long bytes, long tookMs) {}

    @Override
    public void onResponse(Vm vm) {}

    @Override
    public void failed(Vm vm) {}
  }
}
