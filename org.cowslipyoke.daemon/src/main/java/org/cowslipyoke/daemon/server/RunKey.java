package org.cowslipyoke.daemon.server;

import org.cowslipyoke.message.Message.Start;

/**
 * Identity of a run: one attempt of a request of an organisation. The digest is a part because a
 * caller may give one request id to different prompts.
 */
record RunKey(String organisation, String requestId, String digest, int attempt) {

  static RunKey of(Start start) {
    return new RunKey(start.organisation(), start.requestId(), start.digest(), start.attempt());
  }
}
