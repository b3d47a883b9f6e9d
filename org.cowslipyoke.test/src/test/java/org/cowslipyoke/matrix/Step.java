package org.cowslipyoke.matrix;

/** Steps of a request in their usual order; a fault is injected just before the step's effect. */
enum Step {
  ACCEPTED,
  CLAIMED,
  PROBED,
  RESERVED,
  FETCHED,
  SENT,
  FIRST_TOKEN,
  MIDDLE,
  END,
  RECORDED,
  RELAYED,
  EXPORTED
}
