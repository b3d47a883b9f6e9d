package org.cowslipyoke.daemon.relay;

import java.util.concurrent.ScheduledExecutorService;
import org.cowslipyoke.http.ResponseMemoryBudget;
import org.cowslipyoke.relay.Admission;
import org.cowslipyoke.relay.CallerMemory;
import org.cowslipyoke.relay.ColdStartLimiter;
import org.cowslipyoke.relay.FleetStateHolder;
import org.cowslipyoke.relay.PromptAdmission;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.relay.ServicePlacement;
import org.cowslipyoke.relay.ServiceRetryBudget;
import org.cowslipyoke.relay.SilentServers;
import org.cowslipyoke.stream.StreamOrigins;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.client.HttpClient;

/** Objects shared by all exchanges of the relay. */
record RelayContext(
    Clock clock,
    ScheduledExecutorService timers,
    HttpClient client,
    RelayDialect dialect,
    FleetStateHolder state,
    Admission admission,
    PromptAdmission prompts,
    WaitingPrompts waiting,
    ServicePlacement services,
    ServerLoads loads,
    ColdStartLimiter cold,
    ServiceRetryBudget repeats,
    ResponseMemoryBudget answers,
    CallerMemory memory,
    ConnectionBound connections,
    CrashSuspects suspects,
    SilentServers silentServers,
    RelayMetrics metrics,
    StreamOrigins streams,
    RelayExtensions extensions) {}
