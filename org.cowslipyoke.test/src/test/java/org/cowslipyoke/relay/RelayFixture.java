package org.cowslipyoke.relay;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.fake.ManualClock;

/** Builds states, routes and prompts for tests of admission, placement and retries. */
final class RelayFixture {

  static final String MODEL = "m";
  static final String GROUP = "engines";

  final ManualClock clock;
  final FleetStateHolder state;
  final CacheDirectory directory;
  final ServerLoads loads;
  final PeerLoads peers;
  final PendingTransfers pending = new PendingTransfers();
  CacheIsolation isolation = CacheIsolation.NONE;
  final List<CacheStore> stores;

  RelayFixture() {
    this(new ManualClock());
  }

  /** Creates the fixture of one of several entries that share a clock. */
  RelayFixture(ManualClock clock) {
    this(clock, store("a", 100_000), store("b", 1_000_000));
  }

  /** Creates the fixture of the only entry, with the given stores. */
  RelayFixture(CacheStore... stores) {
    this(new ManualClock(), stores);
  }

  private RelayFixture(ManualClock clock, CacheStore... stores) {
    this.clock = clock;
    this.stores = List.of(stores);
    this.state = new FleetStateHolder(clock);
    this.directory = new CacheDirectory(clock);
    this.loads = new ServerLoads(clock);
    this.peers = new PeerLoads(clock);
  }

  static CacheStore store(String name, long tokens) {
    return new CacheStore(name, "store-" + name + ":1", "d1", tokens, 100_000, 1, 12, true);
  }

  static Route route(RequestKind kind, boolean resumable, int attempts) {
    return new Route(
        "r",
        "host.example",
        "/a/",
        kind,
        resumable,
        5_000,
        500,
        attempts,
        1,
        false,
        List.of(new Route.Share(GROUP, 1)));
  }

  DesiredState desired(long version, String... keys) {
    Map<String, OrganisationPolicy> byKey = new HashMap<>();
    for (String k : keys) {
      byKey.put(k, new OrganisationPolicy("org-" + k, null));
    }
    ServerGroup.EngineConfig engine =
        new ServerGroup.EngineConfig(128, 64_000, 35_000, 740_000, 12, true);
    return new DesiredState(
        version,
        new RouteTable(List.of(route(RequestKind.STREAM, true, 2))),
        Map.of(GROUP, new ServerGroup(GROUP, 600, 15, engine)),
        stores,
        true,
        byKey,
        isolation,
        1 << 20,
        15_000);
  }

  static BackendServer server(String id, int weights) {
    return server(id, weights, "d1");
  }

  static BackendServer server(String id, int weights, String domain) {
    return new BackendServer(id, 1, GROUP, id, 80, domain, false, 0, 128, Map.of(MODEL, weights));
  }

  /** Applies a desired state and a server list, and lets all servers answer their event readers. */
  void load(long version, Map<String, Integer> targets, BackendServer... servers) {
    read(version, targets, "key");
    Map<String, BackendServer> byId = new HashMap<>();
    for (BackendServer s : servers) {
      byId.put(s.id(), s);
      directory.contents(s.address()).applyEvents(1, 0, false, List.of(), clock.nowMs());
    }
    state.updateServers(byId, clock.nowMs());
  }

  /** Applies a read of the operators' configuration that is sent now. */
  void read(long version, Map<String, Integer> targets, String... keys) {
    state.updateOperatorConfig(
        desired(version, keys), Set.of(), targets, clock.nowMs(), clock.wallMs());
  }

  /** Lets all servers answer their event readers now. */
  void answerPolls() {
    state
        .get()
        .servers()
        .values()
        .forEach(s -> directory.contents(s.address()).recordResponse(clock.nowMs()));
  }

  /** Lets a node report that it has parts cached under the salt of weights version 1. */
  void reportCached(String address, String... parts) {
    List<CacheContents.Change> changes =
        Arrays.stream(parts).map(p -> new CacheContents.Change(key(p), 4_000)).toList();
    directory.contents(address).applyEvents(1, 0, false, changes, clock.nowMs());
  }

  static CacheContents.Key key(String part) {
    return new CacheContents.Key(CacheIsolation.NONE.salt(MODEL, 1, null), part);
  }

  /** Returns a prompt with two shared parts of 4,000 tokens and an unshared one of 1,000. */
  static Prompt prompt(String first, String second) {
    return new Prompt(
        MODEL,
        9_000,
        50,
        50,
        List.of(
            new Prompt.Part(first, 4_000),
            new Prompt.Part(second, 4_000),
            new Prompt.Part("own", 1_000)));
  }

  PromptPlacement placement() {
    return new PromptPlacement(
        clock,
        "d1",
        loads,
        peers,
        directory,
        new CacheTransferPlanner(directory, pending),
        EngineProfiles.FIXED,
        CrossingCost.FIXED,
        11_000);
  }

  static PromptWork work(long unread, long own) {
    return new PromptWork(unread, own, List.of());
  }

  static RelayRequest request(String host, String path, String key) {
    return new RelayRequest("id", "POST", host, path, path, 5_000, key, null, null, null);
  }
}
