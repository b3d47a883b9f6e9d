package org.cowslipyoke.matrix;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.request.Action;
import org.cowslipyoke.request.RequestRun;
import org.cowslipyoke.request.RequestSpec;
import org.cowslipyoke.request.RunContext;
import org.cowslipyoke.request.ServiceRun;
import org.cowslipyoke.request.ServiceSpec;
import org.cowslipyoke.routing.RequestShape;

/** The two state machines of the entry behind one interface, and the requests of the matrix. */
interface MatrixRequest {

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
  String ORGANISATION = "org-a";

  /** Milliseconds that a caller grants. */
  long DEADLINE_MS = 60_000;

  /** Prompt of all prompts. */
  byte[] PROMPT = "<|user|>\nIs the arena free?\n".getBytes(StandardCharsets.UTF_8);

  List<Action> start();

  List<Action> onClaim(ClaimDecision decision);

  List<Action> onMessage(long channel, Message message);

  List<Action> onClosed(long channel, Failure failure);

  List<Action> onTick();

  List<Action> onRecorded();

  /** Creates a request whose caller already has some tokens. */
  static MatrixRequest create(Kind kind, String id, long skip, RunContext context, long nowMs) {
    Optional<String> key = kind.keyed() ? Optional.of("key-1") : Optional.empty();
    if (kind.isPrompt()) {
      RequestShape shape = new RequestShape(ORGANISATION, "m", new byte[] {1}, 4);
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
      return of(new RequestRun(spec, context));
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
    return of(new ServiceRun(spec, context));
  }

  private static MatrixRequest of(RequestRun run) {
    return new MatrixRequest() {
      @Override
      public List<Action> start() {
        return run.start();
      }

      @Override
      public List<Action> onClaim(ClaimDecision decision) {
        return run.onClaim(decision);
      }

      @Override
      public List<Action> onMessage(long channel, Message message) {
        return run.onMessage(channel, message);
      }

      @Override
      public List<Action> onClosed(long channel, Failure failure) {
        return run.onClosed(channel, failure);
      }

      @Override
      public List<Action> onTick() {
        return run.onTick();
      }

      @Override
      public List<Action> onRecorded() {
        return run.onRecorded();
      }
    };
  }

  private static MatrixRequest of(ServiceRun run) {
    return new MatrixRequest() {
      @Override
      public List<Action> start() {
        return run.start();
      }

      @Override
      public List<Action> onClaim(ClaimDecision decision) {
        return run.onClaim(decision);
      }

      @Override
      public List<Action> onMessage(long channel, Message message) {
        return run.onMessage(channel, message);
      }

      @Override
      public List<Action> onClosed(long channel, Failure failure) {
        return run.onClosed(channel, failure);
      }

      @Override
      public List<Action> onTick() {
        return run.onTick();
      }

      @Override
      public List<Action> onRecorded() {
        return run.onRecorded();
      }
    };
  }
}
