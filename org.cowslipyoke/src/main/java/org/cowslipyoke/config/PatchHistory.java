package org.cowslipyoke.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The last changes of a document, from which a process answers a peer that is a few versions
 * behind. Thread-safe.
 */
public final class PatchHistory {

  /** Number of changes kept: more than an hour at 2,200 changes a day. */
  public static final int CAPACITY = 128;

  private record Step(long from, long to, ObjectNode patch) {}

  private final Deque<Step> steps = new ArrayDeque<>();

  /** Adds the change between two versions. A gap to the last change discards the older ones. */
  public synchronized void add(long from, long to, ObjectNode patch) {
    Step last = steps.peekLast();
    if (last != null && last.to() != from) {
      steps.clear();
    }
    steps.addLast(new Step(from, to, patch));
    if (steps.size() > CAPACITY) {
      steps.removeFirst();
    }
  }

  /** Returns the number of changes kept. */
  public synchronized int size() {
    return steps.size();
  }

  /**
   * Returns the patch from one version to another; empty if the changes between them are not kept
   * or can't be combined, so the whole document has to be sent.
   */
  public synchronized Optional<ObjectNode> between(long from, long to) {
    Optional<ObjectNode> patch = Optional.empty();
    for (Step s : steps) {
      if (s.from() == from) {
        patch = Optional.of(JsonNodeFactory.instance.objectNode());
      }
      if (patch.isPresent()) {
        patch = MergePatch.compose(patch.get(), s.patch());
        if (patch.isEmpty() || s.to() == to) {
          return patch;
        }
      }
    }
    return Optional.empty();
  }
}
