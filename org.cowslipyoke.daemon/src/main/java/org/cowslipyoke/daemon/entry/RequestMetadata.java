package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * Validated values of the headers of a request.
 *
 * @param skipTokens tokens that the caller has already received, from {@code Last-Event-ID}
 */
record RequestMetadata(
    Organisation organisation,
    String requestId,
    Optional<String> idempotencyKey,
    Optional<String> conversationId,
    long deadlineMs,
    String priority,
    long skipTokens) {

  /** Longest deadline, in milliseconds; below the drain timeout of a graceful shutdown. */
  static final long MAX_DEADLINE_MS = 300_000;

  private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
  private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");

  /** Returns the request id of the headers if it is well-formed, otherwise a generated one. */
  static String requestId(HttpFields headers) {
    String given = headers.get(Headers.REQUEST_ID);
    return given != null && REQUEST_ID.matcher(given).matches()
        ? given
        : UUID.randomUUID().toString();
  }

  /**
   * Parses the headers of an authenticated request.
   *
   * @return the metadata, or {@code INVALID_REQUEST} naming the header and its allowed values
   */
  static Either<Failure, RequestMetadata> parse(
      Organisation organisation, HttpFields headers, String requestId, long defaultDeadlineMs) {
    String given = headers.get(Headers.REQUEST_ID);
    if (given != null && !given.equals(requestId)) {
      return invalid(Headers.REQUEST_ID + " must be 1 to 128 letters, digits or . _ : -");
    }
    Optional<String> key = Optional.ofNullable(headers.get(Headers.IDEMPOTENCY_KEY));
    if (key.isPresent() && !KEY.matcher(key.get()).matches()) {
      return invalid(Headers.IDEMPOTENCY_KEY + " must be 1 to 255 visible ASCII characters");
    }
    Optional<String> conversation = Optional.ofNullable(headers.get(Headers.CONVERSATION_ID));
    if (conversation.isPresent() && !KEY.matcher(conversation.get()).matches()) {
      return invalid(Headers.CONVERSATION_ID + " must be 1 to 255 visible ASCII characters");
    }
    long deadline = parseNumber(headers.get(Headers.DEADLINE_MS), defaultDeadlineMs);
    if (deadline < 1 || deadline > MAX_DEADLINE_MS) {
      return invalid(Headers.DEADLINE_MS + " must be a number from 1 to " + MAX_DEADLINE_MS);
    }
    String priority = headers.get(Headers.PRIORITY);
    if (priority != null && !priority.equals("interactive") && !priority.equals("overnight")) {
      return invalid(Headers.PRIORITY + " must be interactive or overnight");
    }
    long skipTokens = parseNumber(headers.get(Headers.LAST_EVENT_ID), 0);
    if (skipTokens < 0 || (skipTokens > 0 && given == null)) {
      return invalid(Headers.LAST_EVENT_ID + " must be a number, with " + Headers.REQUEST_ID);
    }
    String p = priority == null ? "interactive" : priority;
    return Either.right(
        new RequestMetadata(organisation, requestId, key, conversation, deadline, p, skipTokens));
  }

  private static long parseNumber(@Nullable String text, long defaultValue) {
    if (text == null) {
      return defaultValue;
    }
    return NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
  }

  private static <T> Either<Failure, T> invalid(String message) {
    return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, message));
  }
}
