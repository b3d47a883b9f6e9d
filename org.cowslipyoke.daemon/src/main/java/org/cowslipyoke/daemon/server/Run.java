package org.cowslipyoke.daemon.server;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.zip.CRC32C;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.Start;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.message.Message.Tokens;
import org.cowslipyoke.platform.ModelEngine.StreamEnd;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * A run with the tokens generated so far. Tokens are relayed to the attached streams and stored
 * until the run is removed, so that another stream can continue from any offset. Thread-safe.
 */
final class Run {

  /**
   * Maximum number of pieces per message when a stream catches up. Sending pieces in batches keeps
   * a long output from filling the stream's send queue.
   */
  private static final int PIECES_PER_FRAME = 256;

  /**
   * Maximum number of streams attached to a run; more are refused. Repeated requests of a caller
   * share the run.
   */
  private static final int MAX_STREAMS = 8;

  /** Finish reasons of a complete output; an engine also ends runs that it has dropped. */
  private static final Set<String> FINISH_REASONS = Set.of("stop", "length");

  /** A stream with its position in the output. */
  private static final class Attachment {
    private final MessageStream stream;
    private int sent;

    Attachment(MessageStream stream, int sent) {
      this.stream = stream;
      this.sent = sent;
    }
  }

  private final Clock clock;
  private final Start start;
  private final List<String> pieces = new ArrayList<>();
  private final CRC32C checksum = new CRC32C();
  private final List<Attachment> attachments = new ArrayList<>();
  private @Nullable Started started;
  private @Nullable Message outcome;
  private boolean outcomeSent;
  private boolean cancelled;
  private boolean gap;
  private long detachedMs;
  private String incarnation = "";

  Run(Start start, Clock clock) {
    this.start = start;
    this.clock = clock;
    this.detachedMs = clock.nowMs();
    checksum.update(start.generatedPrefix(), 0, start.generatedPrefix().length);
  }

  Start start() {
    return start;
  }

  RunKey key() {
    return RunKey.of(start);
  }

  /**
   * Attaches a stream and sends the output from an offset on.
   *
   * @return false if the offset is before the first token of this run, or too many streams are
   *     attached
   */
  synchronized boolean attach(MessageStream stream, long offset) {
    long index = offset - start.offset();
    if (index < 0 || attachments.size() >= MAX_STREAMS) {
      return false;
    }
    attachments.add(new Attachment(stream, (int) Math.min(Integer.MAX_VALUE, index)));
    if (started != null && !stream.send(started)) {
      detach(stream);
    }
    relay();
    return true;
  }

  /** Detaches a stream that was closed. */
  synchronized void detach(MessageStream stream) {
    if (attachments.removeIf(a -> a.stream.equals(stream))) {
      detachedMs = clock.nowMs();
    }
  }

  /** Returns the refusal; empty if the run was not refused. */
  synchronized Optional<Refused> refusal() {
    return outcome instanceof Refused r ? Optional.of(r) : Optional.empty();
  }

  /** Records the incarnation of the engine that the run is about to be sent to. */
  synchronized void submitted(String engineIncarnation) {
    incarnation = engineIncarnation;
  }

  /** Returns whether the run may be in flight at an engine with this incarnation. */
  synchronized boolean isInFlight(String engineIncarnation) {
    return outcome == null && incarnation.equals(engineIncarnation) && !incarnation.isEmpty();
  }

  synchronized void started(Started message) {
    if (started == null) {
      started = message;
      detachUnless(a -> a.stream.send(message));
    }
  }

  /**
   * Adds a token. A repeated token is ignored, and a gap stops the stream, so that no token is
   * missing from the output.
   *
   * @return false if the engine's stream is to be stopped
   */
  synchronized boolean token(long offset, String piece) {
    if (outcome != null || cancelled) {
      return false;
    }
    long expected = nextOffset();
    if (offset > expected) {
      gap = true;
      return false;
    }
    if (offset == expected) {
      pieces.add(piece);
      byte[] bytes = piece.getBytes(StandardCharsets.UTF_8);
      checksum.update(bytes, 0, bytes.length);
      relay();
    }
    return true;
  }

  /**
   * Ends the run successfully if the output is complete; otherwise fails it.
   *
   * @return whether the run ended successfully with this call
   */
  synchronized boolean end(StreamEnd end) {
    if (!FINISH_REASONS.contains(end.finishReason())) {
      fail(
          ErrorKind.INCOMPLETE,
          Outcome.UNKNOWN,
          "engine ended the run with finish reason " + end.finishReason());
      return false;
    }
    if (gap || end.tokenCount() != nextOffset()) {
      fail(
          ErrorKind.INCOMPLETE,
          Outcome.UNKNOWN,
          "engine reported " + end.tokenCount() + " tokens, received " + nextOffset());
      return false;
    }
    return finish(
        new End(start.requestId(), nextOffset(), checksum.getValue(), end.finishReason()));
  }

  /** Ends the run as not run; call only if nothing of it reached the engine. */
  boolean refuse(Failure reason) {
    return finish(new Refused(reason.kind(), reason.message(), reason.retryAfterMs()));
  }

  boolean fail(ErrorKind kind, Outcome outcome, String message) {
    return finish(new Failed(start.requestId(), kind, outcome, message));
  }

  /** Marks the run as cancelled; false if it has ended. */
  synchronized boolean cancel() {
    cancelled |= outcome == null;
    return outcome == null;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  synchronized boolean hasGap() {
    return gap;
  }

  /** Accepts tokens again after a gap; the engine's stream continues at {@link #nextOffset}. */
  synchronized void clearGap() {
    gap = false;
  }

  synchronized boolean isEnded() {
    return outcome != null;
  }

  /** Returns whether the run has ended successfully. */
  synchronized boolean isAnswered() {
    return outcome instanceof End;
  }

  /** Returns whether the run has not ended or its outcome has not been sent to any stream. */
  synchronized boolean isUndelivered() {
    return outcome == null || !outcomeSent;
  }

  /** Returns whether no stream has been attached for the given time in milliseconds. */
  synchronized boolean isAbandoned(long afterMs) {
    return attachments.isEmpty() && clock.nowMs() - detachedMs >= afterMs;
  }

  /** Returns the offset of the next token in the whole output. */
  synchronized long nextOffset() {
    return start.offset() + pieces.size();
  }

  /** Returns the prompt followed by the whole output, in UTF-8. */
  synchronized byte[] promptAndOutput() {
    byte[] answer = String.join("", pieces).getBytes(StandardCharsets.UTF_8);
    byte[] prompt = start.prompt();
    byte[] prefix = start.generatedPrefix();
    byte[] all = new byte[prompt.length + prefix.length + answer.length];
    System.arraycopy(prompt, 0, all, 0, prompt.length);
    System.arraycopy(prefix, 0, all, prompt.length, prefix.length);
    System.arraycopy(answer, 0, all, prompt.length + prefix.length, answer.length);
    return all;
  }

  /**
   * Sets the outcome. Only the first one takes effect, so a crashed run does not end a second time.
   */
  private synchronized boolean finish(Message message) {
    if (outcome != null) {
      return false;
    }
    outcome = message;
    detachedMs = clock.nowMs();
    relay();
    return true;
  }

  private void relay() {
    detachUnless(this::catchUp);
    if (outcome != null && !attachments.isEmpty()) {
      Message end = outcome;
      // All streams are detached after the outcome, even if sending it failed.
      attachments.forEach(a -> outcomeSent |= a.stream.send(end));
      attachments.clear();
      detachedMs = clock.nowMs();
    }
  }

  private boolean catchUp(Attachment a) {
    while (a.sent < pieces.size()) {
      int to = Math.min(pieces.size(), a.sent + PIECES_PER_FRAME);
      List<String> part = List.copyOf(pieces.subList(a.sent, to));
      if (!a.stream.send(new Tokens(start.requestId(), start.offset() + a.sent, part))) {
        return false;
      }
      a.sent = to;
    }
    return true;
  }

  private void detachUnless(Predicate<Attachment> delivered) {
    if (attachments.removeIf(a -> !delivered.test(a)) && attachments.isEmpty()) {
      detachedMs = clock.nowMs();
    }
  }
}
