package org.cowslipyoke.daemon.entry;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** One HTTP request with where its answer goes. */
record Exchange(Request request, Response response, Callback callback, String requestId) {}
