package org.cowslipyoke.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class MetricsTest {

  /** Guards against a status that does not show why an entry avoids servers. */
  @Test
  void summaryShowsServersThatAreLeavingOrBackingOff() {
    String page =
        """
        # TYPE cowslipyoke_relay_servers_leaving gauge
        cowslipyoke_relay_servers_leaving 2.0
        cowslipyoke_relay_servers_backing_off 1.0
        cowslipyoke_relay_leaving_share{service="x"} 0.5
        cowslipyoke_server_queued 0.0
        """;
    assertEquals(
        "relay_servers_backing_off=1 relay_servers_leaving=2", Metrics.parse(page).summary());
  }
}
