package org.cowslipyoke.daemon.server;

import org.cowslipyoke.admission.AdmissionRequest;
import org.cowslipyoke.admission.PriorityClass;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.message.Message.Probe;
import org.cowslipyoke.message.Message.Start;

/** Converts messages to admission requests. */
final class AdmissionRequests {

  private AdmissionRequests() {}

  static AdmissionRequest of(Probe p) {
    return new AdmissionRequest(
        p.requestId(),
        p.organisation(),
        p.model(),
        p.adapter(),
        p.weightVersion(),
        p.digest(),
        PriorityClass.of(p.priority()),
        p.promptTokens(),
        p.deadlineMs(),
        p.suspect());
  }

  static AdmissionRequest of(Start s) {
    return new AdmissionRequest(
        s.requestId(),
        s.organisation(),
        s.model(),
        s.adapter(),
        s.weightVersion(),
        s.digest(),
        PriorityClass.of(s.priority()),
        BlockChain.tokens(s.prompt().length + s.generatedPrefix().length),
        s.deadlineMs(),
        s.suspect());
  }
}
