package org.cowslipyoke.bench.slopes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Digests;
import org.cowslipyoke.util.Rendezvous;

/** Costs of the decisions that depend on the size of the fleet and of the configuration. */
public final class CoreExperiments {

  private static final int TARGET_SERVERS = 3_100;
  private static final int TARGET_ORGANISATIONS = 11_000;
  private static final int TARGET_PROMPT_TOKENS = 32_000;
  private static final int TIMED_CALLS = 300;

  private CoreExperiments() {}

  /** Returns the experiments in the order of their report. */
  public static List<Experiment> all() {
    return List.of(
        new Experiment(
            "rendezvous-time",
            "servers ranked",
            "us a request",
            List.of(55, 388, 1_000, 3_100),
            TARGET_SERVERS,
            CoreExperiments::rendezvousMicros),
        new Experiment(
            "server-list-heap",
            "servers known",
            "bytes",
            List.of(500, 1_500, 3_100),
            TARGET_SERVERS,
            (size, random) -> Measure.heapBytes(() -> servers(size))),
        new Experiment(
            "configuration-heap",
            "organisations",
            "bytes",
            List.of(1_000, 4_000, 11_000),
            TARGET_ORGANISATIONS,
            (size, random) -> Measure.heapBytes(() -> configuration(size))),
        new Experiment(
            "block-chain-time",
            "prompt tokens",
            "us a request",
            List.of(2_048, 8_192, 32_768),
            TARGET_PROMPT_TOKENS,
            CoreExperiments::chainMicros));
  }

  private static double rendezvousMicros(int size, RandomGenerator random) {
    List<Vm> servers = servers(size);
    byte[] key = new byte[32];
    random.nextBytes(key);
    return Measure.micros(TIMED_CALLS, () -> Rendezvous.top(key, servers, Vm::vm, 3));
  }

  private static double chainMicros(int tokens, RandomGenerator random) {
    byte[] text = new byte[tokens * BlockChain.TOKEN_BYTES];
    random.nextBytes(text);
    return Measure.micros(
        TIMED_CALLS, () -> BlockChain.keys("organisation", "model", "v1", "", text));
  }

  private static List<Vm> servers(int count) {
    List<Vm> servers = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String host = "10.0." + i / 250 + "." + i % 250;
      String domain = "domain-" + i % 26;
      servers.add(
          new Vm("server-" + i, host, 7000, Role.SERVER, domain, "group-" + i % 7, State.LIVE));
    }
    return servers;
  }

  private static Configuration configuration(int organisations) {
    Map<String, Organisation> byName = new HashMap<>();
    IntStream.range(0, organisations)
        .mapToObj(
            i -> {
              String hash = Digests.sha256Hex("key-" + i);
              return new Organisation("organisation-" + i, List.of(hash), 1, 20, 50, 1_000);
            })
        .forEach(o -> byName.put(o.name(), o));
    Map<String, Long> versions = Map.of("organisations", 1L);
    Configuration.Places places = new Configuration.Places(Map.of(), Map.of(), Map.of(), Map.of());
    Configuration.Limits limits = new Configuration.Limits(1, 0.1, 0.0001, 1, 30_000, 1 << 20);
    return new Configuration(1, versions, byName, Map.of(), places, limits);
  }
}
