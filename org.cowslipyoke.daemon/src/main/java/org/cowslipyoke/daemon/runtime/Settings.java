package org.cowslipyoke.daemon.runtime;

import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon process.
 *
 * @param vm unique name of the VM
 * @param backend present for role {@code server} only
 * @param policy routing policy, for role {@code entry}
 * @param callers limits of what HTTP callers may hold
 */
public record Settings(
    String vm,
    String role,
    String failureDomain,
    Listen listen,
    Platform platform,
    @Nullable Backend backend,
    String policy,
    long drainDelayMs,
    long drainTimeoutMs,
    Callers callers) {

  /** Creates settings with the default limits for callers. */
  public Settings(
      String vm,
      String role,
      String failureDomain,
      Listen listen,
      Platform platform,
      @Nullable Backend backend,
      String policy,
      long drainDelayMs,
      long drainTimeoutMs) {
    this(
        vm,
        role,
        failureDomain,
        listen,
        platform,
        backend,
        policy,
        drainDelayMs,
        drainTimeoutMs,
        new Callers(0, 0, 0));
  }

  /**
   * Limits of what HTTP callers may hold together; 0 selects the default.
   *
   * @param memoryBytes bytes of large heads, request bodies and unread responses
   * @param maxConnections open connections
   * @param maxConnectionsPerAddress open connections of one remote address
   */
  public record Callers(long memoryBytes, int maxConnections, int maxConnectionsPerAddress) {}

  /** Addresses to listen on; port 0 selects an ephemeral port. */
  public record Listen(String host, int httpPort, int framePort) {}

  /** Base URLs of the platform services. */
  public record Platform(String table, String objects, String vms, String weights) {}

  /**
   * The backend server beside this daemon.
   *
   * @param group server group in the configuration
   * @param engine base URL of the model engine, null if the backend is a plain service
   * @param service base URL of the plain service, null if the backend is an engine
   */
  public record Backend(String group, @Nullable String engine, @Nullable String service) {}
}
