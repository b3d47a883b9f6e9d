package org.cowslipyoke.admission;

/** Class of a request in queues. */
public enum PriorityClass {
  /** A caller waits for the first token. */
  INTERACTIVE,
  /** Work without a waiting caller. */
  OVERNIGHT;

  /** Returns the class of a wire name; every name but {@code overnight} is interactive. */
  public static PriorityClass of(String name) {
    return name.equals("overnight") ? OVERNIGHT : INTERACTIVE;
  }
}
