package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Collections;
import java.util.Random;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Supplier;
import org.eclipse.jetty.io.EndPoint;

/** Fault switches of one stand-in. */
final class Faults {

  /** All switches with the values that mean "no fault". */
  private static final String DEFAULTS =
      """
      {"outage": "none", "outageMs": 0, "path": "/", "delayMs": 0,
       "lostAnswers": 0, "lostProbability": 0, "seed": 1,
       "malformedAnswers": 0, "oversizeAnswers": 0, "silent": "none", "crash": false,
       "bytesPerSecond": 0, "staleMs": -1, "loseEvents": 0, "reorderEvents": false,
       "coldStart": "none", "full": false, "freeUnderReader": 0, "crashMarker": ""}
      """;

  private final Set<EndPoint> silencedConnections = Collections.newSetFromMap(new WeakHashMap<>());
  private final Supplier<Collection<EndPoint>> openConnections;
  private JsonSettings values = JsonSettings.of(DEFAULTS);
  private Random random = new Random(1);
  private long linkFreeAtNs = System.nanoTime();

  Faults(Supplier<Collection<EndPoint>> openConnections) {
    this.openConnections = openConnections;
  }

  synchronized void set(JsonNode given) {
    final boolean wasAll = values.text("silent").equals("all");
    values = values.with(given);
    String silent = values.text("silent");
    if (silent.equals("open") || wasAll) {
      silencedConnections.addAll(openConnections.get());
    }
    if (given.has("seed") || given.has("lostProbability")) {
      random = new Random(values.number("seed"));
    }
    if (silent.equals("open")) {
      values = values.with(JsonSettings.object("{\"silent\": \"none\"}"));
    }
    values = values.with(JsonSettings.object("{\"crash\": false, \"coldStart\": \"none\"}"));
  }

  synchronized void reset() {
    set(JsonSettings.object(DEFAULTS));
  }

  synchronized ObjectNode toJson() {
    return values.toJson();
  }

  synchronized int count(String name) {
    return values.count(name);
  }

  synchronized String text(String name) {
    return values.text(name);
  }

  synchronized boolean flag(String name) {
    return values.flag(name);
  }

  /** Returns whether a counting switch has occurrences left, and uses one up. */
  synchronized boolean consumeOccurrence(String name) {
    int left = values.count(name);
    if (left <= 0) {
      return false;
    }
    values = values.with(JsonSettings.JSON.createObjectNode().put(name, left - 1));
    return true;
  }

  synchronized boolean isSilent(EndPoint connection) {
    return values.text("silent").equals("all") || silencedConnections.contains(connection);
  }

  synchronized boolean applies(String path) {
    return path.startsWith(values.text("path"));
  }

  synchronized boolean losesResponse(String path) {
    if (!applies(path)) {
      return false;
    }
    double p = values.real("lostProbability");
    return consumeOccurrence("lostAnswers") || (p > 0 && random.nextDouble() < p);
  }

  /** Waits for the time that the transfer of the bytes over the link takes. */
  void throttle(int bytes, long settingBytesPerSecond) throws InterruptedException {
    long waitNs;
    synchronized (this) {
      long rate = values.number("bytesPerSecond");
      rate = rate > 0 ? rate : settingBytesPerSecond;
      if (rate <= 0) {
        return;
      }
      long now = System.nanoTime();
      linkFreeAtNs = Math.max(linkFreeAtNs, now) + bytes * 1_000_000_000L / rate;
      waitNs = linkFreeAtNs - now;
    }
    if (waitNs > 0) {
      Thread.sleep(waitNs / 1_000_000, (int) (waitNs % 1_000_000));
    }
  }
}
