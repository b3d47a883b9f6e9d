package org.cowslipyoke.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.standin.StandIn;
import org.cowslipyoke.standin.StandInKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;

/** A connector and the stand-ins that a test starts. */
abstract class HttpFixture {

  static final long TIMEOUT_MS = 2_000;

  final HttpConnector connector =
      HttpConnector.start("test", new HttpConnector.Limits(2, 4, 1_000, 4 << 20));
  private final List<StandIn> standIns = new ArrayList<>();

  StandIn start(StandInKind kind, String settings) {
    StandIn s = StandIn.start(kind, settings);
    standIns.add(s);
    return s;
  }

  /** Sets the outage {@code refuse} and waits until the client knows its connections are closed. */
  void refuse(StandIn s) {
    s.setFaults("{\"outage\": \"refuse\"}");
    await(() -> connector.openConnections() == 0);
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!condition.getAsBoolean()) {
      Assertions.assertTrue(System.nanoTime() < end, "condition not met within 10 s");
      Thread.onSpinWait();
    }
  }

  @AfterEach
  void closeAll() {
    connector.close();
    standIns.forEach(StandIn::close);
  }
}
