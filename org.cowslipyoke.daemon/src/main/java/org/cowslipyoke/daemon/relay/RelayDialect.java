package org.cowslipyoke.daemon.relay;

import io.vavr.control.Either;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.RelayRequest;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;

/** The headers that callers and backend servers of a platform use. */
public interface RelayDialect {

  /**
   * What is told to a server beside the caller's own headers.
   *
   * @param leftMs time that the caller still waits
   * @param organisation owner of the request, null on an open route
   * @param plan placement of a prompt, null for other requests
   * @param lastEventId last event that the caller has, null if it has none
   */
  record ServerRequest(
      RelayRequest request,
      BackendServer server,
      long leftMs,
      @Nullable String organisation,
      int priority,
      @Nullable PromptPlan plan,
      @Nullable String lastEventId) {}

  /**
   * What the head of a server's answer tells.
   *
   * @param requestId request that it answers, null if it does not say
   * @param notRun whether the server states that it did not run the request
   * @param misdirected whether another incarnation or other weights answered
   * @param sealed whether it carries the server's receipt
   * @param weights version of the weights that the server has, 0 if it does not say
   */
  record ResponseHead(
      int status,
      @Nullable String requestId,
      boolean notRun,
      boolean misdirected,
      boolean sealed,
      int weights) {}

  /** Reads the head of a caller's request. */
  Either<Failure, RelayRequest> decodeRequest(Request request);

  /** Returns the headers of the request to a server. */
  HttpFields serverRequestHeaders(HttpFields fromCaller, ServerRequest o);

  /** Reads the head of a server's answer. */
  ResponseHead decodeResponse(int status, HttpFields fromServer);

  /** Returns the headers of a server's answer that the caller gets. */
  HttpFields responseHeaders(HttpFields fromServer);

  /** Returns the headers of an answer of the entry's own. */
  HttpFields ownResponseHeaders(@Nullable String requestId, long retryAfterMs);
}
