package org.cowslipyoke.standin;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.LongConsumer;

/** Kinds of stand-ins. */
public enum StandInKind {
  /** The transactional table. */
  TABLE(TableService.DEFAULTS, (s, f, r) -> new TableService(s)),
  /** The object store. */
  OBJECTS("{}", (s, f, r) -> new ObjectsService()),
  /** The list of VMs. */
  VMS(VmsService.DEFAULTS, (s, f, r) -> new VmsService(s, f)),
  /** The weight store. */
  WEIGHTS(WeightsService.DEFAULTS, (s, f, r) -> new WeightsService(s)),
  /** A store VM. */
  STORE(StoreService.DEFAULTS, (s, f, r) -> new StoreService(s, f)),
  /** A model engine. */
  ENGINE(EngineService.DEFAULTS, EngineService::new),
  /** A plain service. */
  SERVICE(BookingService.DEFAULTS, (s, f, r) -> new BookingService(s));

  /** Creates the service of a kind; the last argument refuses connections for a time. */
  @FunctionalInterface
  interface Factory {
    Service create(Options settings, Faults faults, LongConsumer refuseForMs);
  }

  private final String defaults;

  @SuppressWarnings("ImmutableEnumChecker") // Method references without state.
  private final Factory factory;

  StandInKind(String defaults, Factory factory) {
    this.defaults = defaults;
    this.factory = factory;
  }

  /**
   * Returns the kind with a name as used on the command line.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static StandInKind of(String name) {
    for (StandInKind k : values()) {
      if (k.wireName().equals(name)) {
        return k;
      }
    }
    throw new IllegalArgumentException(
        "unknown kind "
            + name
            + ", allowed: "
            + Arrays.toString(values()).toLowerCase(Locale.ROOT));
  }

  /** Returns the name as used on the command line. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  Options settings() {
    return Options.of(defaults);
  }

  Service create(Options settings, Faults faults, LongConsumer refuseForMs) {
    return factory.create(settings, faults, refuseForMs);
  }
}
