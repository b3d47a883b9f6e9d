package org.cowslipyoke.request;

import java.util.List;
import java.util.function.Supplier;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.routing.RetryBudget;
import org.cowslipyoke.routing.RoutingPolicy;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Clock;

/**
 * Dependencies of the state machines at one entry.
 *
 * @param retries retry budget of the entry
 * @param servers gives the present live servers of the request's group, without those in failure
 *     domains that are taken out
 */
public record RequestContext(
    Clock clock,
    RoutingPolicy policy,
    RetryBudget retries,
    SuspectList suspects,
    Supplier<List<Vm>> servers) {}
