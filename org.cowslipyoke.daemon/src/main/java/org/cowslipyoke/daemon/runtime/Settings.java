package org.cowslipyoke.daemon.runtime;

import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon process.
 *
 * @param vm unique name of the VM
 * @param backend present for role {@code server} only
 * @param policy routing policy, for role {@code entry}
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
    long drainTimeoutMs) {

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
