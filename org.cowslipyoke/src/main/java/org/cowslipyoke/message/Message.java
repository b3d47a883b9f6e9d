package org.cowslipyoke.message;

import java.util.List;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;

/**
 * A message between two daemons. The frame around it carries the stream id and the sender's
 * document versions; see {@link Envelope}.
 */
public sealed interface Message {

  /** First message of a connection in each direction. */
  record Hello(String vm, String role, String failureDomain) implements Message {}

  /** Shows that the connection is alive. */
  record Heartbeat() implements Message {}

  /**
   * Requests an offer from a server daemon.
   *
   * @param requestId id of the request, unique within its organisation
   * @param digest hexadecimal digest over organisation, model and prompt
   * @param priority {@code interactive} or {@code overnight}
   * @param deadlineMs milliseconds left until the caller's deadline
   * @param blockKeys keys of the prompt's KV cache blocks for {@code weightVersion}, in order
   * @param suspect whether the digest is on the suspects list of the sender
   */
  record Probe(
      String requestId,
      String organisation,
      String model,
      String adapter,
      String weightVersion,
      String digest,
      String priority,
      long deadlineMs,
      int maxTokens,
      int promptTokens,
      List<BlockKey> blockKeys,
      boolean suspect)
      implements Message {}

  /**
   * Accepts a probe and makes a short-lived reservation.
   *
   * @param reservationId id to pass in {@link Start}
   * @param cachedTokens prompt tokens in the engine's cache
   * @param fetchableTokens further prompt tokens that the daemon intends to import
   * @param linkBytes bytes that the import transfers over links
   * @param ttftMs estimated time to the first token in milliseconds
   * @param queued number of runs that wait at the server
   * @param active number of runs that execute at the server
   * @param weightVersion version that would serve the request
   * @param runningOffset tokens produced so far if the request already runs here, else -1
   */
  record Offer(
      long reservationId,
      int cachedTokens,
      int fetchableTokens,
      long linkBytes,
      long ttftMs,
      int queued,
      int active,
      String weightVersion,
      long runningOffset)
      implements Message {}

  /** Refuses a probe, start or service call; the work has not run. */
  record Refused(ErrorKind kind, String message, long retryAfterMs) implements Message {}

  /** Releases a reservation. */
  record Release(long reservationId) implements Message {}

  /**
   * Starts a run under a reservation. A repeated start with the same request id and attempt
   * attaches to the run instead of starting a second one.
   *
   * @param prompt rendered prompt, UTF-8
   * @param generatedPrefix text that was already relayed to the caller, UTF-8; empty at first
   * @param offset tokens in {@code generatedPrefix}
   */
  record Start(
      String requestId,
      int attempt,
      long reservationId,
      String organisation,
      String model,
      String adapter,
      String weightVersion,
      String digest,
      String priority,
      int maxTokens,
      byte[] prompt,
      byte[] generatedPrefix,
      long offset,
      boolean suspect,
      long deadlineMs)
      implements Message {}

  /** Confirms that a run was submitted to the engine. */
  record Started(String weightVersion, int reusedTokens, int recomputedTokens) implements Message {}

  /**
   * Tokens of an answer.
   *
   * @param offset index of the first piece in the answer
   * @param pieces text of each token
   */
  record Tokens(String requestId, long offset, List<String> pieces) implements Message {}

  /**
   * Ends an answer.
   *
   * @param tokenCount tokens of the whole answer, including a generated prefix
   * @param checksum CRC32C over the UTF-8 bytes of the whole answer, including a generated prefix
   * @param finishReason {@code stop} or {@code length}
   */
  record End(String requestId, long tokenCount, long checksum, String finishReason)
      implements Message {}

  /** Reports that a run has ended with an error. */
  record Failed(String requestId, ErrorKind kind, Outcome outcome, String message)
      implements Message {}

  /**
   * Attaches to a run of the same organisation and digest and continues its answer from an offset
   * in tokens. The daemon responds with {@link Failed} of kind {@code NOT_FOUND} and outcome {@code
   * UNKNOWN} if it does not hold the run.
   */
  record Resume(String requestId, String organisation, String digest, long offset)
      implements Message {}

  /** Cancels a run; the daemon responds with {@link Failed} of kind {@code CANCELLED}. */
  record Cancel(String requestId) implements Message {}

  /**
   * Calls a plain service.
   *
   * @param headers names and values, alternating
   * @param idempotent whether the daemon may repeat the call
   */
  record ServiceCall(
      String requestId,
      String organisation,
      String method,
      String path,
      List<String> headers,
      byte[] body,
      boolean idempotent,
      long deadlineMs)
      implements Message {}

  /** Answer of a plain service. */
  record ServiceReply(
      String requestId, int status, List<String> headers, byte[] body, long checksum)
      implements Message {}

  /** Requests a document from the peer if its version is newer than {@code haveVersion}. */
  record DocumentPull(String name, long haveVersion) implements Message {}

  /**
   * A document, or its changes since a version that the receiver has.
   *
   * @param version version of the document, 0 with an empty body if the sender has nothing newer
   * @param fromVersion 0 if {@code json} is the whole document, else the version to which {@code
   *     json} applies as a JSON merge patch (RFC 7396)
   */
  record Document(String name, long version, long fromVersion, byte[] json) implements Message {}

  /** Announces the document versions in its envelope; has no content of its own. */
  record Notice() implements Message {}

  /**
   * Ends a stream, or the connection if the stream id is 0. The transport sends and handles it; it
   * is never passed to a stream handler.
   *
   * @param kind {@code CANCELLED} for a regular close, else the error
   */
  record StreamClosed(ErrorKind kind, String message) implements Message {}
}
