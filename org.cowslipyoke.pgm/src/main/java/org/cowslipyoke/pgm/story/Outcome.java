package org.cowslipyoke.pgm.story;

/** Outcome of a request at a VM according to its log lines. */
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
