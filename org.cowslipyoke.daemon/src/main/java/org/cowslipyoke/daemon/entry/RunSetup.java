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

/** What model requests and calls of plain services have in common when they begin. */
record RunSetup(
    EntryServices services, FleetView fleet, RoutingPolicy policy, RetryBudget retries) {

  /**
   * Returns the context of a run.
   *
   * @param group server group that serves the request
   * @param admitted configuration under which the request was admitted, used until a newer one is
   *     in force
   */
  RequestContext context(String group, Configuration admitted) {
    DaemonContext context = services.context();
    Supplier<List<Vm>> servers =
        () -> {
          Configuration now = context.configuration().current().orElse(admitted);
          return fleet.servers(group, now.places());
        };
    return new RequestContext(context.clock(), policy, retries, context.suspects(), servers);
  }

  /** Makes a driver whose run is told when the caller's connection is gone. */
  static RunDriver driver(Exchange x, Function<ReplyWriter, RunDriver> make) {
    AtomicReference<@Nullable RunDriver> driver = new AtomicReference<>();
    ReplyWriter writer =
        new ReplyWriter(
            x.response(),
            x.callback(),
            () -> {
              RunDriver d = driver.get();
              if (d != null) {
                d.callerGone();
              }
            });
    RunDriver made = make.apply(writer);
    driver.set(made);
    return made;
  }
}
