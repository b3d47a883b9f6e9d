package org.cowslipyoke.platform;

/**
 * Order of the versions of a table across its eras. A version alone has no meaning, because a table
 * that returns from an older copy gives versions out again; see {@link TransactionalTable#era}.
 */
public final class TableOrder {

  /**
   * Number of low bits for the version; the era is added above them. Numbers stay exact in readers
   * that hold them as doubles up to era 2^21.
   */
  private static final int VERSION_BITS = 32;

  private TableOrder() {}

  /**
   * Returns a number that grows with the version within an era, and with the era. It is the version
   * itself if the table states no eras. Versions may exceed 2^32; they must not fall by as much
   * when the era rises.
   *
   * @param era era of the table, below 2^31
   */
  public static long of(long era, long version) {
    return (era << VERSION_BITS) + version;
  }
}
