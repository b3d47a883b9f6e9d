package org.cowslipyoke.routing;

import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.platform.VmList.Vm;

/** A server and the offer that it made for one request. */
public record Candidate(Vm server, Offer offer) {}
