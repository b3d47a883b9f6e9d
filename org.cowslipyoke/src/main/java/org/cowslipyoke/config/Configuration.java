package org.cowslipyoke.config;

import java.util.List;
import java.util.Map;

/**
 * Immutable snapshot of the operators' document.
 *
 * @param headVersion version of the whole document, grows with each accepted change
 * @param sectionVersions version of each section by its name
 * @param organisations organisations by name
 * @param models models by name
 * @param places failure domains, groups, stores, links and plain services
 * @param limits limits and cost weights
 */
public record Configuration(
    long headVersion,
    Map<String, Long> sectionVersions,
    Map<String, Organisation> organisations,
    Map<String, Model> models,
    Places places,
    Limits limits) {

  /**
   * An organisation.
   *
   * @param keyHashes SHA-256 of each bearer key in hexadecimal
   * @param weight share in fair queueing
   * @param requestsPerSecond admission rate of all entries together; each applies its share
   * @param maxConcurrent concurrent requests of all entries together; each applies its share
   * @param keptBlocks quota of blocks in the store VMs
   */
  public record Organisation(
      String name,
      List<String> keyHashes,
      int weight,
      double requestsPerSecond,
      int maxConcurrent,
      int keptBlocks) {}

  /**
   * A model.
   *
   * @param group server group that serves it
   * @param weightVersion version that servers shall load
   * @param adapters adapters that servers shall load
   */
  public record Model(
      String name, String group, String weightVersion, List<String> adapters, int maxTokens) {}

  /** Whether a failure domain takes new work. */
  public enum DomainState {
    IN,
    OUT
  }

  /** Whether an engine refuses orders with an old fencing number. */
  public enum Fencing {
    ENFORCED,
    IGNORED
  }

  /** A server group. */
  public record Group(String name, Fencing fencing, String weightStore) {}

  /**
   * A group of store VMs.
   *
   * @param copies copies of each kept block
   * @param linkBytesPerSecond budget of the link from one server to one store VM
   */
  public record StoreGroup(String name, int copies, long linkBytesPerSecond) {}

  /**
   * A plain service.
   *
   * @param prefix path prefix at the entry, without the last slash
   * @param group server group whose daemons call the service
   * @param notRepeatable patterns of calls that must not be repeated
   */
  public record Service(String name, String prefix, String group, List<CallPattern> notRepeatable) {

    /** Returns whether a call must not be repeated; the path starts after the prefix. */
    public boolean isNotRepeatable(String method, String path) {
      return notRepeatable.stream().anyMatch(p -> p.matches(method, path));
    }
  }

  /**
   * Pattern of a call.
   *
   * @param method HTTP method, {@code *} for any
   * @param pathPrefix prefix of the path after the service prefix
   */
  public record CallPattern(String method, String pathPrefix) {

    boolean matches(String callMethod, String path) {
      return (method.equals("*") || method.equals(callMethod)) && path.startsWith(pathPrefix);
    }
  }

  /** Places by name. */
  public record Places(
      Map<String, DomainState> failureDomains,
      Map<String, Group> groups,
      Map<String, StoreGroup> stores,
      Map<String, Service> services) {

    /** Returns whether a failure domain takes new work; an unlisted one does. */
    public boolean acceptsNewWork(String failureDomain) {
      return failureDomains.getOrDefault(failureDomain, DomainState.IN) == DomainState.IN;
    }
  }

  /**
   * Limits and weights.
   *
   * @param costPerTtftMs cost of a millisecond to the first token
   * @param costPerToken cost of a recomputed token
   * @param costPerLinkByte cost of a byte over a link
   * @param coldStartConcurrency runs that a cold server bears
   * @param defaultDeadlineMs deadline of a request that gives none
   */
  public record Limits(
      double costPerTtftMs,
      double costPerToken,
      double costPerLinkByte,
      int coldStartConcurrency,
      long defaultDeadlineMs,
      int maxBodyBytes) {}
}
