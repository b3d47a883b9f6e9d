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
 * One run with the answer so far. Tokens are relayed to the attached streams and kept until the run
 * is forgotten, so that a later stream can continue from any offset. Thread-safe.
 */
final class Run {

  /** Pieces in one frame when a stream catches up; a longer answer must not fill its queue. */
  private static final int PIECES_PER_FRAME = 256;

  /** Streams of one run; more are refused. A repeated request of a caller shares the run. */
  private static final int MAX_STREAMS = 8;

  /** Reasons with which an answer is whole; an engine also ends runs that it has dropped. */
  private static final Set<String> FINISH_REASONS = Set.of("stop", "length");

  /** A stream with its position in the answer. */
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
  private final List<Attachment> attached = new ArrayList<>();
  private @Nullable Started started;
  private @Nullable Message last;
  private boolean lastSent;
  private boolean cancelled;
  private boolean broken;
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
   * Attaches a stream and sends the answer from an offset on.
   *
   * @return false if the offset lies before the tokens of this run, or too many are attached
   */
  synchronized boolean attach(MessageStream stream, long offset) {
    long index = offset - start.offset();
    if (index < 0 || attached.size() >= MAX_STREAMS) {
      return false;
    }
    attached.add(new Attachment(stream, (int) Math.min(Integer.MAX_VALUE, index)));
    if (started != null && !stream.send(started)) {
      detach(stream);
    }
    relay();
    return true;
  }

  /** Detaches a stream that was lost. */
  synchronized void detach(MessageStream lost) {
    if (attached.removeIf(a -> a.stream.equals(lost))) {
      detachedMs = clock.nowMs();
    }
  }

  /** Returns why the run was not run; empty if it may have been. */
  synchronized Optional<Refused> refusal() {
    return last instanceof Refused r ? Optional.of(r) : Optional.empty();
  }

  /** Notes that the run is about to be sent to the engine with this incarnation. */
  synchronized void submitted(String engineIncarnation) {
    incarnation = engineIncarnation;
  }

  /** Returns whether the run may be in flight at an engine with this incarnation. */
  synchronized boolean isInFlight(String engineIncarnation) {
    return last == null && incarnation.equals(engineIncarnation) && !incarnation.isEmpty();
  }

  synchronized void started(Started message) {
    if (started == null) {
      started = message;
      retain(a -> a.stream.send(message));
    }
  }

  /**
   * Adds a token; a repeated one is ignored and a gap breaks the run, so that the answer never
   * misses a token.
   *
   * @return false if no more tokens are wanted
   */
  synchronized boolean token(long offset, String piece) {
    if (last != null || cancelled) {
      return false;
    }
    long expected = produced();
    if (offset > expected) {
      broken = true;
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

  /** Ends the run with the engine's end if the answer is whole. */
  synchronized boolean end(StreamEnd end) {
    if (!FINISH_REASONS.contains(end.finishReason())) {
      fail(ErrorKind.INCOMPLETE, Outcome.UNKNOWN, "engine ended the run: " + end.finishReason());
      return false;
    }
    if (broken || end.tokenCount() != produced()) {
      fail(
          ErrorKind.INCOMPLETE,
          Outcome.UNKNOWN,
          "engine counts " + end.tokenCount() + " tokens, received " + produced());
      return false;
    }
    return finish(new End(start.requestId(), produced(), checksum.getValue(), end.finishReason()));
  }

  /** Returns the run as not run. To be called only if no byte of it reached the engine. */
  boolean refuse(Failure reason) {
    return finish(new Refused(reason.kind(), reason.message(), reason.retryAfterMs()));
  }

  boolean fail(ErrorKind kind, Outcome outcome, String message) {
    return finish(new Failed(start.requestId(), kind, outcome, message));
  }

  /** Marks the run as cancelled; false if it has ended. */
  synchronized boolean cancel() {
    cancelled |= last == null;
    return last == null;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  synchronized boolean isBroken() {
    return broken;
  }

  /** Accepts tokens again; the engine's stream continues at {@link #produced}. */
  synchronized void unbreak() {
    broken = false;
  }

  synchronized boolean isEnded() {
    return last != null;
  }

  /** Returns whether the run has ended with an answer and not with an error. */
  synchronized boolean isAnswered() {
    return last instanceof End;
  }

  /** Returns whether the run still owes something to its entry. */
  synchronized boolean isOwed() {
    return last == null || !lastSent;
  }

  /** Returns whether no stream has been attached for some time. */
  synchronized boolean isAbandoned(long afterMs) {
    return attached.isEmpty() && clock.nowMs() - detachedMs >= afterMs;
  }

  /** Returns the offset of the next token in the whole answer. */
  synchronized long produced() {
    return start.offset() + pieces.size();
  }

  /** Returns the prompt with the whole answer. */
  synchronized byte[] wholeText() {
    byte[] answer = String.join("", pieces).getBytes(StandardCharsets.UTF_8);
    byte[] prompt = start.prompt();
    byte[] prefix = start.generatedPrefix();
    byte[] all = new byte[prompt.length + prefix.length + answer.length];
    System.arraycopy(prompt, 0, all, 0, prompt.length);
    System.arraycopy(prefix, 0, all, prompt.length, prefix.length);
    System.arraycopy(answer, 0, all, prompt.length + prefix.length, answer.length);
    return all;
  }

  /** The first end counts: a run that crashed does not end a second time. */
  private synchronized boolean finish(Message message) {
    if (last != null) {
      return false;
    }
    last = message;
    detachedMs = clock.nowMs();
    relay();
    return true;
  }

  private void relay() {
    retain(this::catchUp);
    if (last != null && !attached.isEmpty()) {
      Message end = last;
      // A stream is done with the run after its end, whether it was lost or not.
      attached.forEach(a -> lastSent |= a.stream.send(end));
      attached.clear();
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

  private void retain(Predicate<Attachment> delivered) {
    if (attached.removeIf(a -> !delivered.test(a)) && attached.isEmpty()) {
      detachedMs = clock.nowMs();
    }
  }
}
