package org.cowslipyoke.platform;

/** Kinds of {@link ModelEngine.Order}. */
public final class OrderKinds {

  /** Loads a model and a weight version. */
  public static final String LOAD = "load";

  /** Loads an adapter. */
  public static final String LOAD_ADAPTER = "load_adapter";

  /** Drops an adapter. */
  public static final String UNLOAD_ADAPTER = "unload_adapter";

  /** Changes the role of the engine. */
  public static final String ROLE = "role";

  private OrderKinds() {}
}
