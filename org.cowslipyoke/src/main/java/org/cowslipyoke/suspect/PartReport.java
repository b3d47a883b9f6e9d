package org.cowslipyoke.suspect;

import java.util.List;
import java.util.Map;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;

/**
 * Report of one process to the others about prompt parts that are suspected to crash servers. Times
 * are ages in milliseconds, so that clocks need not be synchronised.
 *
 * @param crashes runs that a crash ended before their response began, by incarnation of the server;
 *     the fingerprints are those of parts
 * @param begunAgesMs time since the last response to a prompt with a suspected part began, by
 *     fingerprint of the part
 */
public record PartReport(Map<String, List<CrashedRun>> crashes, Map<Long, Long> begunAgesMs) {}
