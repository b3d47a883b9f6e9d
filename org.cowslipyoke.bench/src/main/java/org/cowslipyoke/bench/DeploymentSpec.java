package org.cowslipyoke.bench;

import java.util.List;

/**
 * Size and names of a local deployment.
 *
 * @param name folder of the example configuration
 * @param group server group of the model engines
 * @param serviceGroup server group of the plain services
 * @param stores names of the store VMs
 * @param storeGroup group of the store VMs in the configuration
 * @param weightStore name of the weight store
 * @param policy routing policy of the entries
 * @param engineBlocks blocks that the cache of one engine holds
 * @param startCold whether engines begin in cold start
 */
record DeploymentSpec(
    String name,
    String model,
    String group,
    String serviceGroup,
    String storeGroup,
    List<String> stores,
    String weightStore,
    List<String> failureDomains,
    int entries,
    int engines,
    int services,
    String policy,
    int engineBlocks,
    boolean startCold) {

  /** Returns the deployment of Cooperativa with the given number of servers. */
  static DeploymentSpec cooperativa(int engines, int services, String policy, int engineBlocks) {
    return new DeploymentSpec(
        "cooperativa",
        "assistente",
        "assistente",
        "marcacoes",
        "memoria",
        List.of("memoria-a", "memoria-b"),
        "pesos",
        List.of("santarem", "golega", "almeirim", "coruche"),
        2,
        engines,
        services,
        policy,
        engineBlocks,
        false);
  }

  /** Returns the failure domain of the i-th VM of a kind. */
  String failureDomain(int i) {
    return failureDomains.get(i % failureDomains.size());
  }
}
