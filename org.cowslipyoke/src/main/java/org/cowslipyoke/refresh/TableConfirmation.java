package org.cowslipyoke.refresh;

/**
 * Statement by an entry that has read a table of the platform's store. An entry with the same
 * content need not read the table; one with other content must.
 *
 * @param table name of the table
 * @param digest digest of the content as far as entries use it
 * @param asOfMs time of the store's clock, in milliseconds, at which the table had this content at
 *     the earliest
 */
public record TableConfirmation(String table, long digest, long asOfMs) {}
