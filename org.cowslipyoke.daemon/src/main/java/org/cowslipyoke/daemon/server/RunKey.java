package org.cowslipyoke.daemon.server;

import org.cowslipyoke.message.Message.Start;

/**
 * Identity of a run: one attempt of a request of an organisation. It includes the digest because a
 * caller may use one request id for different prompts.
 */
record RunKey(String organisation, String requestId, String digest, int attempt) {

  static RunKey of(Start start) {
    return new RunKey(start.organisation(), start.requestId(), start.digest(), start.attempt());
  }
}
