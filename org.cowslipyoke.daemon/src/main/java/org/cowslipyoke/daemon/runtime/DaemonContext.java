package org.cowslipyoke.daemon.runtime;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.platform.ObjectStore;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.WeightStore;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.transport.StreamOpener;
import org.cowslipyoke.util.Clock;

/**
 * Components that the runtime provides to a role.
 *
 * @param scheduler runs short tasks; blocking calls to the platform must run on {@code workers}
 */
public record DaemonContext(
    Settings settings,
    Clock clock,
    ConfigurationHolder configuration,
    SuspectList suspects,
    PauseDetector pauses,
    TransactionalTable table,
    ObjectStore objects,
    VmList vms,
    WeightStore weights,
    StreamOpener streams,
    ScheduledExecutorService scheduler,
    ExecutorService workers,
    MeterRegistry meters) {}
