package org.cowslipyoke.daemon.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Fencing;
import org.cowslipyoke.config.Configuration.Group;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.HttpModelEngine;
import org.cowslipyoke.http.HttpTransactionalTable;
import org.cowslipyoke.http.HttpVmList;
import org.cowslipyoke.lease.LoadingSlots;
import org.cowslipyoke.lease.OrderLease;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.standin.StandIn;
import org.cowslipyoke.standin.StandInKind;
import org.cowslipyoke.util.Clock;
import org.junit.jupiter.api.Test;

class WeightSwapHttpTest {

  private static Configuration configuration() {
    Group g = new Group("g", Fencing.ENFORCED, "w");
    Places p = new Places(Map.of(), Map.of("g", g), Map.of(), Map.of());
    Model m = new Model("default", "g", "v2", List.of("a"), 100);
    Limits l = new Limits(1, 1, 1, 1, 30_000, 1 << 20);
    return new Configuration(1, Map.of(), Map.of(), Map.of("default", m), p, l);
  }

  /**
   * Guards against a weight swap that is lost or repeated when responses of the table and of the
   * engine are lost.
   */
  @Test
  void swapOverHttpSurvivesLostAnswers() {
    try (StandIn table = StandIn.start(StandInKind.TABLE);
        StandIn vms = StandIn.start(StandInKind.VMS);
        StandIn weights = StandIn.start(StandInKind.WEIGHTS, "{\"loadMs\": 50}");
        StandIn engine =
            StandIn.start(
                StandInKind.ENGINE,
                "{\"adapterLoadMs\": 20, \"weightStore\": \"" + weights.baseUri() + "\"}");
        HttpConnector connector = HttpConnector.start("s1", HttpConnector.Limits.defaults())) {
      table.setFaults("{\"lostAnswers\": 2, \"path\": \"/v1/commit\"}");
      engine.setFaults("{\"lostAnswers\": 1, \"path\": \"/v1/order\"}");
      Clock clock = Clock.system();
      PauseDetector pauses = new PauseDetector(clock);
      HttpTransactionalTable t = new HttpTransactionalTable(connector, table.baseUri(), 2_000);
      HttpModelEngine e = new HttpModelEngine(connector, engine.baseUri(), 2_000);
      ConfigurationHolder holder = new ConfigurationHolder();
      assertTrue(holder.offer(configuration()));
      WeightReconciler reconciler =
          new WeightReconciler(
              "g",
              holder,
              e,
              new OrderLease(t, clock, pauses, "s1", () -> UUID.randomUUID().toString()),
              new LoadingSlots(t, clock, "s1", () -> UUID.randomUUID().toString()),
              new HttpVmList(connector, vms.baseUri(), 2_000),
              () -> true,
              on -> 0);
      long end = System.nanoTime() + 20_000_000_000L;
      while (!isDone(e)) {
        assertTrue(System.nanoTime() < end, "not swapped within 20 s");
        // On a loaded test machine the detector can report a pause; the lease needs it
        // acknowledged.
        pauses.confirmRecovered(pauses.pauseCount());
        reconciler.step();
      }
      assertEquals(2, engine.stats().path("ordersAccepted").asInt());
      assertEquals(0, engine.stats().path("ordersOutdated").asInt());
      reconciler.stop();
    }
  }

  private static boolean isDone(HttpModelEngine e) {
    return e.state()
        .map(s -> s.weightVersion().equals("v2") && s.adapters().equals(List.of("a")))
        .getOrElse(false);
  }
}
