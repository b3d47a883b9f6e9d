package org.cowslipyoke.daemon.server;

import org.cowslipyoke.admission.Ticket;

/**
 * An admitted run with what the driver needs to execute it.
 *
 * @param runId id of the run at the engine; unique over restarts of the daemon
 */
record Work(Run run, Ticket ticket, BlockImporter.Import blocks, String runId) {}
