package org.cowslipyoke.daemon.runtime;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handler of SIGHUP, by which a platform announces changed settings. Without a handler the JVM runs
 * its shutdown hooks on this signal and ends.
 *
 * <p>The JDK's only interface to signals is {@code sun.misc.Signal}. It is called by reflection,
 * since each direct use of it is a compiler warning that can't be suppressed at one place.
 */
public final class HangupSignal {

  private static final String NAME = "HUP";

  private HangupSignal() {}

  /**
   * Replaces the handler of the signal.
   *
   * @param action called once per signal, in a thread of its own; may be called concurrently
   * @throws IllegalStateException if this JVM doesn't support handlers of signals
   */
  public static void handle(Runnable action) {
    InvocationHandler run =
        (proxy, method, args) -> {
          action.run();
          return null;
        };
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, run);
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(NAME), proxy);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("SIG" + NAME + " can't be handled", e);
    }
  }
}
