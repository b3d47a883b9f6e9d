package org.cowslipyoke.daemon.server;

import org.cowslipyoke.admission.Ticket;

/**
 * An admitted run with its ticket and block import.
 *
 * @param runId id of the run at the engine; unique across restarts of the daemon
 */
record ScheduledRun(Run run, Ticket ticket, BlockImporter.Import blocks, String runId) {}
