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
    return of(bytes, (int) Math.min(connections, Integer.MAX_VALUE), 0);
  }

  /**
   * Returns limits.
   *
   * @param perAddress open connections of one remote address; 0 if they are not limited, because
   *     all callers may come from one proxy
   */
  public static CallerLimits of(long memoryBytes, int connections, int perAddress) {
    ConnectionSlots.Bounds b =
        perAddress > 0
            ? new ConnectionSlots.Bounds(connections, perAddress)
            : ConnectionSlots.Bounds.of(connections);
    return new CallerLimits(memoryBytes, b);
  }
}
