package org.cowslipyoke.daemon.server;

import org.apache.logging.log4j.ThreadContext;

/** Adds the request id and the organisation to the log context of a task. */
final class LogContext {

  private static final String REQUEST_ID = "requestId";
  private static final String ORGANISATION = "organisation";

  private LogContext() {}

  static void run(String requestId, String organisation, Runnable task) {
    ThreadContext.put(REQUEST_ID, requestId);
    ThreadContext.put(ORGANISATION, organisation);
    try {
      task.run();
    } finally {
      ThreadContext.remove(REQUEST_ID);
      ThreadContext.remove(ORGANISATION);
    }
  }
}
