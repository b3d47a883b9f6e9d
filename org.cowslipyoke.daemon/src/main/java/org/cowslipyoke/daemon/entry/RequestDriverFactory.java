package org.cowslipyoke.daemon.entry;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.request.RequestContext;
import org.cowslipyoke.routing.FleetView;
import org.cowslipyoke.routing.RetryBudget;
import org.cowslipyoke.routing.RoutingPolicy;
import org.jspecify.annotations.Nullable;

/** Creates drivers and run contexts for model requests and calls of plain services. */
record RequestDriverFactory(
    EntryServices services, FleetView fleet, RoutingPolicy policy, RetryBudget retries) {

  /**
   * Returns the context of a run.
   *
   * @param group server group that serves the request
   * @param admitted configuration with which the request was admitted, used if none is active
   */
  RequestContext runContext(String group, Configuration admitted) {
    DaemonContext context = services.context();
    Supplier<List<Vm>> servers =
        () -> {
          Configuration now = context.configuration().current().orElse(admitted);
          return fleet.servers(group, now.places());
        };
    return new RequestContext(context.clock(), policy, retries, context.suspects(), servers);
  }

  /** Creates a driver that is notified when the connection of the caller is lost. */
  static RequestDriver create(Exchange exchange, Function<ResponseWriter, RequestDriver> make) {
    AtomicReference<@Nullable RequestDriver> driver = new AtomicReference<>();
    ResponseWriter writer =
        new ResponseWriter(
            exchange.response(),
            exchange.callback(),
            () -> {
              RequestDriver d = driver.get();
              if (d != null) {
                d.onCallerGone();
              }
            });
    RequestDriver made = make.apply(writer);
    driver.set(made);
    return made;
  }
}
