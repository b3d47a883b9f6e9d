package org.cowslipyoke.relay;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A backend server, from its own entry in the server list.
 *
 * @param id name of the server; may be the same after a restart
 * @param startedMs start time in Unix milliseconds; distinguishes incarnations with the same id
 * @param group service that the server belongs to
 * @param leaving whether the server is shutting down and must get no new work
 * @param coldMs remaining cold-start time when the entry was read, in milliseconds
 * @param slots number of requests that it runs concurrently
 * @param weights weights version by model
 * @param software version of the server's software, empty if the server does not state it
 */
public record BackendServer(
    String id,
    long startedMs,
    String group,
    String host,
    int port,
    String failureDomain,
    boolean leaving,
    long coldMs,
    int slots,
    Map<String, Integer> weights,
    String software) {

  /** Creates a server that does not state the version of its software. */
  public BackendServer(
      String id,
      long startedMs,
      String group,
      String host,
      int port,
      String failureDomain,
      boolean leaving,
      long coldMs,
      int slots,
      Map<String, Integer> weights) {
    this(id, startedMs, group, host, port, failureDomain, leaving, coldMs, slots, weights, "");
  }

  /** Returns a name that is unique to this incarnation. */
  public String incarnation() {
    return id + "@" + startedMs;
  }

  /** Returns host and port. */
  public String address() {
    return host + ":" + port;
  }

  /** Returns the version of a model's weights, or null if the server does not hold the model. */
  public @Nullable Integer weights(String model) {
    return weights.get(model);
  }
}
