package org.cowslipyoke.daemon.runtime;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the document exchange. */
final class ExchangeStats {

  final LongAdder headReads = new LongAdder();
  final LongAdder headReadFailures = new LongAdder();
  final LongAdder pulls = new LongAdder();
  final LongAdder pullFailures = new LongAdder();
  final LongAdder accepted = new LongAdder();
  final LongAdder refused = new LongAdder();
  final LongAdder patchesSent = new LongAdder();
  final LongAdder completeDocumentsSent = new LongAdder();
  final LongAdder noticesSent = new LongAdder();
  final LongAdder catchUps = new LongAdder();
}
