package org.cowslipyoke.config;

import java.util.List;

/**
 * One accepted change.
 *
 * @param headVersion version of the whole document after the change
 * @param section name of the changed section
 * @param from version of the section before, 0 if the section was created
 * @param to version of the section after
 * @param who name that the editor gave
 * @param editor first digits of the hash of the credential that permitted the change
 * @param whenMs wall time of the change
 * @param reason reason that the editor gave
 * @param changeId id of the change, unique
 * @param digest SHA-256 of the new content, tells a repeated change from another one
 * @param changes changed values, one line each, the first ones of a large change
 * @param moreChanges number of changed values that {@code changes} leaves out
 */
public record AuditEntry(
    long headVersion,
    String section,
    long from,
    long to,
    String who,
    String editor,
    long whenMs,
    String reason,
    String changeId,
    String digest,
    List<String> changes,
    int moreChanges) {}
