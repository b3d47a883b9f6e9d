package org.cowslipyoke.daemon.relay;

import org.cowslipyoke.relay.ConnectionSlots;

/**
 * Limits of what the callers of one process may hold together.
 *
 * @param memoryBytes bytes of large heads, request bodies and unread responses
 * @param connections open connections
 */
public record CallerLimits(long memoryBytes, ConnectionSlots.Bounds connections) {

  /** Fraction of the heap that callers may hold. */
  private static final double HEAP_FRACTION = 0.25;

  /** Fraction of the process's memory limit that callers may hold. */
  private static final double PROCESS_FRACTION = 0.125;

  /** Heap that is left for one connection with an ordinary request, in bytes. */
  private static final long CONNECTION_BYTES = 12 << 10;

  /** Descriptors that are not available for connections: files, and those to servers and peers. */
  private static final int RESERVED_DESCRIPTORS = 200;

  /** Fraction of the other descriptors that callers may use. */
  private static final double DESCRIPTOR_FRACTION = 2.0 / 3;

  /**
   * Returns the limits that follow from the heap and the limits of the process.
   *
   * @param memoryMb memory limit of the process in megabytes, 0 if there is none
   * @param maxDescriptors maximum number of open descriptors, 0 if it is not limited
   */
  public static CallerLimits ofProcess(long memoryMb, int maxDescriptors) {
    long heap = Runtime.getRuntime().maxMemory();
    long bytes = Math.round(heap * HEAP_FRACTION);
    if (memoryMb > 0) {
      bytes = Math.min(bytes, Math.round((memoryMb << 20) * PROCESS_FRACTION));
    }
    long connections = Math.round(heap * HEAP_FRACTION) / CONNECTION_BYTES;
    if (maxDescriptors > 0) {
      long left = Math.max(0, maxDescriptors - RESERVED_DESCRIPTORS);
      connections = Math.min(connections, Math.max(16, Math.round(left * DESCRIPTOR_FRACTION)));
    }
    int total = (int) Math.min(connections, Integer.MAX_VALUE);
    return new CallerLimits(bytes, ConnectionSlots.Bounds.of(total));
  }

  /**
   * Returns these limits with other values where they are above 0.
   *
   * @param perAddress open connections of one remote address; not limited by default, because all
   *     callers may come from one proxy
   */
  public CallerLimits with(long bytes, int total, int perAddress) {
    return new CallerLimits(
        bytes > 0 ? bytes : memoryBytes,
        new ConnectionSlots.Bounds(
            total > 0 ? total : connections.total(),
            perAddress > 0 ? perAddress : connections.perAddress()));
  }
}
