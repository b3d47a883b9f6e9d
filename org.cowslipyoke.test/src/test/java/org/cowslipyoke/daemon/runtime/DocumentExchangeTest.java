package org.cowslipyoke.daemon.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.config.Deployments;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.api.ReadConfiguration;
import org.cowslipyoke.daemon.runtime.Replica.Acceptance;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.platform.VmList.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against changes that do not reach all processes and against versions that decrease. */
class DocumentExchangeTest {

  private static final String DEPLOYMENT = "cooperativa";
  private static final long DEADLINE_S = 20;

  private final long seed = System.nanoTime();
  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final FakeTable unavailableTable = new FakeTable(clock);
  private final ExchangeNode.Vms vms = new ExchangeNode.Vms();
  private final List<ExchangeNode> nodes = new ArrayList<>();

  @BeforeEach
  void seed() {
    System.out.println("seed " + seed);
    Deployments.seed(table, clock, DEPLOYMENT);
    unavailableTable.setOutage(true);
  }

  @AfterEach
  void close() {
    nodes.forEach(ExchangeNode::close);
  }

  @Test
  void changeReachesProcessesThatCannotReadTheTable() {
    ExchangeNode a = node("entry-a", Role.ENTRY, table);
    await(() -> a.configuration.headVersion() == 4);
    ExchangeNode b = node("entry-b", Role.ENTRY, unavailableTable);
    ExchangeNode server = node("server-1", Role.SERVER, unavailableTable);
    await(() -> b.exchange.isCurrent() && server.exchange.isCurrent());
    takeDomainOut("golega");
    await(
        () ->
            nodes.stream()
                .allMatch(
                    n ->
                        n.configuration
                                .current()
                                .orElseThrow()
                                .places()
                                .failureDomains()
                                .get("golega")
                            == DomainState.OUT));
    assertTrue(b.exchange.stats().pulls.sum() > 0);
    long patches = nodes.stream().mapToLong(n -> n.exchange.stats().patchesSent.sum()).sum();
    assertTrue(patches >= 1, "a change is sent as a patch");
  }

  @Test
  void suspectsReachServers() {
    ExchangeNode a = node("entry-a", Role.ENTRY, table);
    ExchangeNode server = node("server-1", Role.SERVER, table);
    await(() -> a.exchange.isCurrent() && server.exchange.isCurrent());
    a.suspects.offer(a.suspects.current().withCrash("digest", clock.wallMs()));
    await(() -> server.suspects.current().entries().containsKey("digest"));
    a.suspects.offer(a.suspects.current().without("digest", clock.wallMs()));
    await(() -> server.suspects.current().entries().isEmpty());
  }

  /** Guards against a restarted process using the version of an outdated peer. */
  @Test
  void restartDuringTableOutageUsesTheNewestVersionOfItsPeers() {
    ExchangeNode old = node("entry-old", Role.ENTRY, table);
    await(() -> old.configuration.headVersion() == 4);
    old.close();
    vms.remove("entry-old");
    nodes.clear();
    takeDomainOut("golega");
    ExchangeNode newest = node("entry-new", Role.ENTRY, table);
    await(() -> newest.configuration.headVersion() == 5);

    // Entries that see each other soon agree on the newest version.
    ExchangeNode.Vms alone = new ExchangeNode.Vms();
    ExchangeNode stale = new ExchangeNode("entry-stale", Role.ENTRY, staleTable(), alone, seed);
    awaitTicking(List.of(stale), () -> stale.exchange.isCurrent());
    assertEquals(4, stale.configuration.headVersion());
    vms.addAll(alone);
    ExchangeNode restarted = node("entry-restarted", Role.ENTRY, unavailableTable);
    nodes.remove(restarted);
    awaitTicking(
        List.of(restarted),
        () -> {
          long version = restarted.configuration.headVersion();
          assertTrue(version == 0 || version == 5, "version " + version + ", seed " + seed);
          return restarted.exchange.isCurrent();
        });
    nodes.add(stale);
    nodes.add(restarted);
  }

  /** Guards against a process without a copy using the version of one peer, which is outdated. */
  @Test
  void processWithoutCopyPullsFromSeveralPeersOnly() {
    node("entry-gone", Role.ENTRY, table).close();
    nodes.clear();
    ExchangeNode started = node("entry-started", Role.ENTRY, unavailableTable);
    await(() -> started.exchange.stats().headReads.sum() >= 4);
    long pulls = started.exchange.stats().pulls.sum();
    long catchUps = started.exchange.stats().catchUps.sum();
    assertTrue(pulls <= 2 * catchUps, pulls + " pulls of 2 documents, " + catchUps + " catch-ups");
  }

  @Test
  void pausedProcessCatchesUpBeforeItIsCurrent() {
    ExchangeNode a = node("entry-a", Role.ENTRY, table);
    await(() -> a.exchange.isCurrent());
    takeDomainOut("golega");
    table.setOutage(true);
    a.clock.advance(60_000);
    a.tick();
    assertFalse(a.exchange.isCurrent());
    long catchUps = a.exchange.stats().catchUps.sum();
    await(() -> a.exchange.stats().catchUps.sum() > catchUps + 2);
    assertFalse(a.exchange.isCurrent(), "neither the table nor a peer responded");
    table.setOutage(false);
    await(() -> a.exchange.isCurrent());
    assertEquals(5, a.configuration.headVersion());
  }

  @Test
  void outdatedTableDoesNotRevertTheConfiguration() {
    takeDomainOut("golega");
    ConfigurationHolder holder = new ConfigurationHolder();
    ConfigurationReplica replica = new ConfigurationReplica(holder);
    assertEquals(Acceptance.ACCEPTED, replica.read(table).get());
    assertEquals(Acceptance.STALE, replica.read(staleTable()).get());
    assertEquals(5, holder.headVersion());
  }

  @Test
  void documentThatRevertsSectionIsRefused() {
    takeDomainOut("golega");
    ConfigurationHolder holder = new ConfigurationHolder();
    ConfigurationReplica replica = new ConfigurationReplica(holder);
    replica.read(table).get();
    var forged = ReadConfiguration.from(staleTable()).call().get();
    byte[] json =
        forged.with(Section.LIMITS, 1, 99, forged.content(Section.LIMITS).orElseThrow()).toBytes();
    Document document = new Document(ConfigurationReplica.NAME, 99, 0, json);
    assertEquals(Acceptance.REFUSED, replica.accept(document));
    assertEquals(5, holder.headVersion());
  }

  @Test
  void changeFromUnknownVersionNeedsCompleteDocument() {
    ConfigurationReplica replica = new ConfigurationReplica(new ConfigurationHolder());
    replica.read(table).get();
    byte[] patch = "{\"version\": 9}".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    Document d = new Document(ConfigurationReplica.NAME, 9, 7, patch);
    assertEquals(Acceptance.NEEDS_COMPLETE, replica.accept(d));
    takeDomainOut("golega");
    replica.read(table).get();
    assertEquals(4, replica.changesSince(4).fromVersion());
    assertEquals(0, replica.changesSince(3).fromVersion());
    assertEquals(0, replica.changesSince(5).version());
  }

  private ExchangeNode node(String vm, Role role, FakeTable from) {
    ExchangeNode n = new ExchangeNode(vm, role, from, vms, seed);
    nodes.add(n);
    return n;
  }

  private void takeDomainOut(String domain) {
    String json =
        Deployments.section(DEPLOYMENT, Section.PLACES)
            .replace("\"" + domain + "\": \"in\"", "\"" + domain + "\": \"out\"");
    Deployments.apply(table, clock, DEPLOYMENT, Section.PLACES, json).call().get();
  }

  private FakeTable staleTable() {
    FakeTable stale = new FakeTable(clock);
    Deployments.seed(stale, clock, DEPLOYMENT);
    return stale;
  }

  private void await(BooleanSupplier condition) {
    awaitTicking(nodes, condition);
  }

  private void awaitTicking(List<ExchangeNode> ticking, BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(DEADLINE_S);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition not met, seed " + seed);
      ticking.forEach(ExchangeNode::tick);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }
}
