package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the datagrams that an entry sends to others, within and between failure domains. */
public final class PeerTraffic {

  /** Size of the headers of IPv4 and UDP in bytes. */
  private static final int HEADER_BYTES = 28;

  /** What a datagram contains. */
  enum Kind {
    LOADS,
    CACHE_EVENTS,
    TABLES,
    SUSPECTS,
    RATES,
    /** A report of another entry that is passed on within the failure domain. */
    PASSED_ON,
    CONFIRMATIONS
  }

  private record Count(LongAdder datagrams, LongAdder bytes) {
    Count() {
      this(new LongAdder(), new LongAdder());
    }
  }

  private final Map<Kind, Count> own = new EnumMap<>(Kind.class);
  private final Map<Kind, Count> other = new EnumMap<>(Kind.class);
  private final LongAdder unsentCacheEvents = new LongAdder();

  /** Creates counters at zero. */
  public PeerTraffic() {
    for (Kind k : Kind.values()) {
      own.put(k, new Count());
      other.put(k, new Count());
    }
  }

  void record(Kind kind, boolean ownDomain, int payloadBytes) {
    Count c = (ownDomain ? own : other).get(kind);
    if (c != null) {
      c.datagrams().increment();
      c.bytes().add(onLink(payloadBytes));
    }
  }

  /** Returns the size of a datagram with its headers in bytes. */
  static long onLink(int payloadBytes) {
    return (long) payloadBytes + HEADER_BYTES;
  }

  /** Counts cache events that are left to the other entries to read. */
  void recordUnsentCacheEvents() {
    unsentCacheEvents.increment();
  }

  /** Returns the bytes sent to other failure domains, with headers. */
  long bytesToOtherDomains() {
    return other.values().stream().mapToLong(c -> c.bytes().sum()).sum();
  }

  /** Registers the counters. */
  public void register(MeterRegistry meters) {
    own.forEach((k, c) -> register(meters, k, "own", c));
    other.forEach((k, c) -> register(meters, k, "other", c));
    FunctionCounter.builder(
            "cowslipyoke_peer_unsent_cache_events", unsentCacheEvents, LongAdder::sum)
        .register(meters);
  }

  private static void register(MeterRegistry meters, Kind kind, String domain, Count c) {
    String name = kind.name().toLowerCase(Locale.ROOT);
    FunctionCounter.builder("cowslipyoke_peer_sent_datagrams", c, x -> x.datagrams().sum())
        .tags("kind", name, "domain", domain)
        .register(meters);
    FunctionCounter.builder("cowslipyoke_peer_sent_bytes", c, x -> x.bytes().sum())
        .tags("kind", name, "domain", domain)
        .register(meters);
  }
}
