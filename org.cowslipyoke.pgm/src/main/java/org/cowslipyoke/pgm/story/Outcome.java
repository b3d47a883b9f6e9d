package org.cowslipyoke.pgm.story;

/** How a request ended at a VM, as its lines tell. */
public enum Outcome {
  ANSWERED,
  FAILURE_PASSED_ON,
  REFUSED,
  OWN_ANSWER,
  CUT,
  CALLER_LEFT,
  BODY_NOT_READ,
  ENTRY_FAILED,
  NOT_TOLD
}
