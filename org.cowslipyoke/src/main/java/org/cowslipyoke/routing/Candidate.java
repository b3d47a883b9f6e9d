package org.cowslipyoke.routing;

import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.platform.VmList.Vm;

/** A server with its offer for one request. */
public record Candidate(Vm server, Offer offer) {}
