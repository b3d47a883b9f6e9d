package org.cowslipyoke.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * State of a service's rollout, as one row of a table. Times are those of the table's clock.
 *
 * @param target version that the service moves to
 * @param old versions that ran before the order
 * @param rejected targets of earlier rollouts that were rolled back; their servers get nothing
 * @param share share of the requests that the target gets, from 0 to 1
 * @param startedMs lower bound of the time of the order; also identifies the rollout
 * @param durationMs time within which the rollout must end, in milliseconds
 * @param sinceMs time at which the step began; of {@link RolloutStep#FINAL} when all requests move
 * @param reason why the rollout ended, empty before
 * @param closed whether the order was removed, so that the same order is a new one
 * @param owner VM of the entry that began the step, for operators
 */
public record RolloutState(
    String service,
    String target,
    Set<String> old,
    Set<String> rejected,
    RolloutStep step,
    double share,
    long startedMs,
    long durationMs,
    long sinceMs,
    String reason,
    boolean closed,
    String owner) {

  /** Returns the time by which the rollout must have ended. */
  public long deadlineMs() {
    return startedMs + durationMs;
  }

  /** Returns the state with another step. */
  RolloutState withStep(RolloutStep next, double nextShare, long nowMs, String why) {
    return new RolloutState(
        service,
        target,
        old,
        rejected,
        next,
        nextShare,
        startedMs,
        durationMs,
        nowMs,
        why,
        closed,
        owner);
  }

  /** Returns the state with another duration. */
  RolloutState withDuration(long ms) {
    return new RolloutState(
        service, target, old, rejected, step, share, startedMs, ms, sinceMs, reason, closed, owner);
  }

  /** Returns the state after the removal of the order. */
  RolloutState close() {
    return new RolloutState(
        service,
        target,
        old,
        rejected,
        step,
        share,
        startedMs,
        durationMs,
        sinceMs,
        reason,
        true,
        owner);
  }

  /** Returns the state with the entry that writes it. */
  public RolloutState ownedBy(String vm) {
    return new RolloutState(
        service,
        target,
        old,
        rejected,
        step,
        share,
        startedMs,
        durationMs,
        sinceMs,
        reason,
        closed,
        vm);
  }

  /** Encodes the state as the value of a row. */
  public String encode() {
    ObjectNode n =
        Json.object()
            .put("target", target)
            .put("step", step.name())
            .put("share", share)
            .put("startedMs", startedMs)
            .put("durationMs", durationMs)
            .put("sinceMs", sinceMs)
            .put("reason", reason)
            .put("closed", closed)
            .put("owner", owner);
    ArrayNode versions = n.putArray("old");
    new TreeSet<>(old).forEach(versions::add);
    ArrayNode bad = n.putArray("rejected");
    new TreeSet<>(rejected).forEach(bad::add);
    return n.toString();
  }

  /**
   * Decodes the value of a row.
   *
   * @throws MalformedResponseException if it is not a state
   */
  public static RolloutState decode(String service, String value)
      throws MalformedResponseException {
    JsonNode n = Json.parse(value.getBytes(StandardCharsets.UTF_8));
    String name = Json.text(n, "step");
    for (RolloutStep step : RolloutStep.values()) {
      if (step.name().equals(name)) {
        return new RolloutState(
            service,
            Json.text(n, "target"),
            versions(n, "old"),
            versions(n, "rejected"),
            step,
            share(n),
            Json.integer(n, "startedMs"),
            Json.integer(n, "durationMs"),
            Json.integer(n, "sinceMs"),
            Json.text(n, "reason"),
            Json.bool(n, "closed"),
            Json.text(n, "owner"));
      }
    }
    throw new MalformedResponseException("unknown step " + name);
  }

  private static Set<String> versions(JsonNode n, String field) throws MalformedResponseException {
    Set<String> versions = new TreeSet<>();
    for (JsonNode v : Json.array(n, field)) {
      versions.add(v.asText());
    }
    return Set.copyOf(versions);
  }

  private static double share(JsonNode n) throws MalformedResponseException {
    JsonNode share = Json.field(n, "share");
    if (!share.isNumber() || share.asDouble() < 0 || share.asDouble() > 1) {
      throw new MalformedResponseException("share is not a number from 0 to 1");
    }
    return share.asDouble();
  }
}
