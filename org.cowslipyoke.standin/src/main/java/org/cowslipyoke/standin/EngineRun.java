package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One generation in an engine. Its text is computed from the prompt, so only counts are stored. */
final class EngineRun {

  /** Phase of a run. */
  enum Phase {
    WAITING,
    PREFILL,
    DECODE,
    ENDED,
    CRASHED
  }

  /** State of a run at one moment. */
  record Snapshot(Phase phase, boolean started, long produced) {}

  final String id;
  final byte[] prompt;
  final List<String> keys;
  final long offset;
  final int maxTokens;
  final int priority;
  final boolean prefixMatches;

  /** Whether the run was submitted while the engine was cold. */
  boolean startedCold;

  double prefillLeft;
  double decodeCredit;
  String weightVersion = "";
  int reused;
  int recomputed;

  private AnswerText text;
  private Phase phase = Phase.WAITING;
  private boolean started;
  private long produced;
  private int readers;
  private long idleSinceNs = System.nanoTime();
  private boolean cancelled;

  EngineRun(JsonNode g) throws IOException {
    this.id = g.path("runId").asText();
    this.prompt = g.path("prompt").binaryValue();
    this.offset = g.path("offset").asLong();
    this.maxTokens = g.path("maxTokens").asInt();
    this.priority = g.path("priority").asInt();
    byte[] prefix = g.path("generatedPrefix").binaryValue();
    if (id.isEmpty() || prompt == null || prefix == null || offset < 0 || maxTokens < 1) {
      throw new IllegalArgumentException(
          "invalid runId, prompt, generatedPrefix, offset or maxTokens");
    }
    this.keys = new ArrayList<>();
    g.path("blockKeys").forEach(k -> keys.add(k.asText()));
    this.text = AnswerText.of(prompt);
    String expected = text.text(0, Math.min(offset, text.length(maxTokens)));
    this.prefixMatches = expected.equals(new String(prefix, StandardCharsets.UTF_8));
    this.produced = offset;
    if (!prefixMatches) {
      corruptText();
    }
  }

  /** Makes the answer differ from the correct one for the prompt. */
  void corruptText() {
    byte[] changed =
        (new String(prompt, StandardCharsets.UTF_8) + "\0wrong").getBytes(StandardCharsets.UTF_8);
    synchronized (this) {
      text = AnswerText.of(changed);
    }
  }

  synchronized long total() {
    return Math.max(offset, text.length(maxTokens));
  }

  synchronized Phase phase() {
    return phase;
  }

  synchronized boolean isOver() {
    return phase == Phase.ENDED || phase == Phase.CRASHED;
  }

  synchronized void enter(Phase next) {
    phase = next;
    started = started || next == Phase.DECODE;
    if (isOver()) {
      idleSinceNs = System.nanoTime();
    }
    notifyAll();
  }

  synchronized void cancel() {
    cancelled = true;
    enter(Phase.ENDED);
  }

  /** Produces up to a number of tokens; returns how many were produced. */
  synchronized long produce(long tokens) {
    long n = Math.min(tokens, total() - produced);
    if (n > 0) {
      produced += n;
      notifyAll();
    }
    return n;
  }

  synchronized boolean isComplete() {
    return produced >= total();
  }

  synchronized void addReader() {
    readers++;
  }

  synchronized void removeReader() {
    readers--;
    idleSinceNs = System.nanoTime();
  }

  /** Returns whether the run has had no reader for the given time. */
  synchronized boolean isAbandoned(long forNs) {
    return readers == 0 && System.nanoTime() - idleSinceNs > forNs;
  }

  /** Waits for a change that the reader has not seen, at most for the given time. */
  synchronized Snapshot await(long seen, boolean sawStart, long ms) throws InterruptedException {
    long end = System.nanoTime() + ms * 1_000_000;
    long left = ms;
    while (produced <= seen && started == sawStart && !isOver() && left > 0) {
      wait(left);
      left = (end - System.nanoTime()) / 1_000_000;
    }
    return new Snapshot(phase, started, produced);
  }

  synchronized String piece(long index) {
    return text.piece(index);
  }

  synchronized ObjectNode endLine() {
    ObjectNode n = JsonSettings.JSON.createObjectNode();
    String reason = cancelled ? "cancelled" : text.finishReason(maxTokens);
    n.putObject("end").put("tokenCount", produced).put("finishReason", reason);
    return n;
  }

  ObjectNode startLine() {
    ObjectNode n = JsonSettings.JSON.createObjectNode();
    n.putObject("started")
        .put("weightVersion", weightVersion)
        .put("reusedTokens", reused)
        .put("recomputedTokens", recomputed);
    return n;
  }
}
