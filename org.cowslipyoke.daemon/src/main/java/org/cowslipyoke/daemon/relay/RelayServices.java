package org.cowslipyoke.daemon.relay;

import java.util.concurrent.ScheduledExecutorService;
import org.cowslipyoke.relay.Admission;
import org.cowslipyoke.relay.ColdShare;
import org.cowslipyoke.relay.FleetStateHolder;
import org.cowslipyoke.relay.PromptPlacement;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.relay.ServicePlacement;
import org.cowslipyoke.relay.ServiceRetryBudget;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.client.HttpClient;

/** What every exchange of the relay uses. */
record RelayServices(
    Clock clock,
    ScheduledExecutorService timers,
    HttpClient client,
    RelayDialect dialect,
    FleetStateHolder state,
    Admission admission,
    PromptPlacement prompts,
    ServicePlacement services,
    ServerLoads loads,
    ColdShare cold,
    ServiceRetryBudget repeats,
    AnswerMemory answers,
    CrashSuspects suspects,
    RelayMetrics metrics) {}
