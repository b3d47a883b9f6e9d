package org.cowslipyoke.matrix;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.request.EntryStateMachine;
import org.cowslipyoke.request.RequestContext;
import org.cowslipyoke.request.RequestSpec;
import org.cowslipyoke.request.RequestStateMachine;
import org.cowslipyoke.request.ServiceCallStateMachine;
import org.cowslipyoke.request.ServiceSpec;
import org.cowslipyoke.routing.RoutingRequest;

/** The requests of the matrix. */
final class MatrixRequest {

  /** Kind of request. */
  enum Kind {
    /** A prompt without a key. */
    IDEMPOTENT_PROMPT,
    /** A prompt with an idempotency key. */
    KEYED_PROMPT,
    /** A call of a plain service that must not be repeated, with an idempotency key. */
    KEYED_CALL,
    /** The same without a key. */
    UNKEYED_CALL;

    boolean idempotent() {
      return this == IDEMPOTENT_PROMPT;
    }

    boolean keyed() {
      return this == KEYED_PROMPT || this == KEYED_CALL;
    }

    boolean isPrompt() {
      return this == IDEMPOTENT_PROMPT || this == KEYED_PROMPT;
    }
  }

  /** Organisation of all requests. */
  private static final String ORGANISATION = "org-a";

  /** Milliseconds that a caller grants. */
  private static final long DEADLINE_MS = 60_000;

  /** Prompt of all prompts. */
  static final byte[] PROMPT = "<|user|>\nIs the arena free?\n".getBytes(StandardCharsets.UTF_8);

  private MatrixRequest() {}

  /** Creates a request whose caller already has some tokens. */
  static EntryStateMachine create(
      Kind kind, String id, long skip, RequestContext context, long nowMs) {
    Optional<String> key = kind.keyed() ? Optional.of("key-1") : Optional.empty();
    if (kind.isPrompt()) {
      RoutingRequest shape = new RoutingRequest(ORGANISATION, "m", new byte[] {1}, 4);
      RequestSpec spec =
          new RequestSpec(
              id,
              shape,
              "",
              "v1",
              "digest-1",
              "interactive",
              nowMs + DEADLINE_MS,
              MatrixServer.ANSWER_TOKENS,
              PROMPT,
              List.of(),
              key,
              skip);
      return new RequestStateMachine(spec, context);
    }
    ServiceSpec spec =
        new ServiceSpec(
            id,
            ORGANISATION,
            "POST",
            "/bookings",
            List.of(),
            new byte[0],
            "digest-1",
            false,
            key,
            nowMs + DEADLINE_MS);
    return new ServiceCallStateMachine(spec, context);
  }
}
