package org.cowslipyoke.relay;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A backend server as it describes itself.
 *
 * @param id name of this incarnation; a restart may keep it
 * @param startedMs Unix milliseconds of its start; tells incarnations with the same id apart
 * @param leaving whether it stops soon and gets no new work
 * @param coldMs remaining time in cold start when the entry was read
 * @param weights version of the weights by model
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
    Map<String, Integer> weights) {

  /** Returns the name that tells this incarnation from all others. */
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
