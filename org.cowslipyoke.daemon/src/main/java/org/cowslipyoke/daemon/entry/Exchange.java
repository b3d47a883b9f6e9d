package org.cowslipyoke.daemon.entry;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** An HTTP request with its response and completion callback. */
record Exchange(Request request, Response response, Callback callback, String requestId) {}
