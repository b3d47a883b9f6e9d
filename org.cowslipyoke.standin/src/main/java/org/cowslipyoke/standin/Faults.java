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

/** State of the fault switches of one stand-in. */
final class Faults {

  /** Every switch with the value that means "no fault". */
  private static final String DEFAULTS =
      """
      {"outage": "none", "outageMs": 0, "path": "/", "delayMs": 0,
       "lostAnswers": 0, "lostProbability": 0, "seed": 1,
       "malformedAnswers": 0, "oversizeAnswers": 0, "silent": "none", "crash": false,
       "bytesPerSecond": 0, "staleMs": -1, "loseEvents": 0, "reorderEvents": false,
       "coldStart": "none", "full": false, "freeUnderReader": 0, "crashMarker": ""}
      """;

  private final Set<EndPoint> silenced = Collections.newSetFromMap(new WeakHashMap<>());
  private final Supplier<Collection<EndPoint>> open;
  private Options values = Options.of(DEFAULTS);
  private Random random = new Random(1);
  private long linkFreeAtNs = System.nanoTime();

  Faults(Supplier<Collection<EndPoint>> open) {
    this.open = open;
  }

  synchronized void set(JsonNode given) {
    final boolean wasAll = values.text("silent").equals("all");
    values = values.with(given);
    String silent = values.text("silent");
    if (silent.equals("open") || wasAll) {
      silenced.addAll(open.get());
    }
    if (given.has("seed") || given.has("lostProbability")) {
      random = new Random(values.number("seed"));
    }
    if (silent.equals("open")) {
      values = values.with(Options.object("{\"silent\": \"none\"}"));
    }
    values = values.with(Options.object("{\"crash\": false, \"coldStart\": \"none\"}"));
  }

  synchronized void reset() {
    set(Options.object(DEFAULTS));
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

  /** Returns whether a switch that counts occurrences is on, and counts one. */
  synchronized boolean take(String name) {
    int left = values.count(name);
    if (left <= 0) {
      return false;
    }
    values = values.with(Options.JSON.createObjectNode().put(name, left - 1));
    return true;
  }

  synchronized boolean isSilent(EndPoint connection) {
    return values.text("silent").equals("all") || silenced.contains(connection);
  }

  synchronized boolean applies(String path) {
    return path.startsWith(values.text("path"));
  }

  synchronized boolean losesAnswer(String path) {
    if (!applies(path)) {
      return false;
    }
    double p = values.real("lostProbability");
    return take("lostAnswers") || (p > 0 && random.nextDouble() < p);
  }

  /** Waits as long as the link needs for the bytes. */
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
