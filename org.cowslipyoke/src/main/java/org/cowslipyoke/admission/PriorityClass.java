package org.cowslipyoke.admission;

/** Priority class of a request. */
public enum PriorityClass {
  /** A caller waits for the first token. */
  INTERACTIVE,
  /** Work without a waiting caller. */
  OVERNIGHT;

  /** Returns the class for a wire name; every name but {@code overnight} means interactive. */
  public static PriorityClass of(String name) {
    return name.equals("overnight") ? OVERNIGHT : INTERACTIVE;
  }
}
