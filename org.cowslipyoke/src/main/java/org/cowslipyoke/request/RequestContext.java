package org.cowslipyoke.request;

import java.util.List;
import java.util.function.Supplier;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.routing.RetryBudget;
import org.cowslipyoke.routing.RoutingPolicy;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Clock;

/**
 * What the runs of one entry share.
 *
 * @param servers live servers of the request's group outside of excluded failure domains, at the
 *     time of the call
 */
public record RequestContext(
    Clock clock,
    RoutingPolicy policy,
    RetryBudget retries,
    SuspectList suspects,
    Supplier<List<Vm>> servers) {}
