package org.cowslipyoke.daemon.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests the order of what a gate holds. */
class EventGateTest {

  private final List<String> passed = new ArrayList<>();
  private final Deque<Runnable> threads = new ArrayDeque<>();
  private final CompletableFuture<Boolean> answer = new CompletableFuture<>();
  private int asked;

  private final EventGate.Outlet outlet =
      new EventGate.Outlet() {
        @Override
        public void pass(byte[] events, @Nullable String lastId) {
          passed.add(new String(events, StandardCharsets.UTF_8) + lastId);
        }

        @Override
        public void refuse() {
          passed.add("refused");
        }
      };

  private EventGate gate() {
    return new EventGate(
        () -> {
          asked++;
          return answer;
        },
        threads::add,
        outlet);
  }

  private static void pass(EventGate gate, int id) {
    gate.pass("e".getBytes(StandardCharsets.UTF_8), Integer.toString(id));
  }

  private void runThreads() {
    while (!threads.isEmpty()) {
      threads.remove().run();
    }
  }

  /** Guards against events that overtake held ones between the answer and its handling. */
  @Test
  void heldEventsAndTheEndKeepTheirOrder() {
    EventGate gate = gate();
    assertEquals(0, asked, "asked before the first event");
    pass(gate, 1);
    pass(gate, 2);
    answer.complete(true);
    pass(gate, 3);
    gate.end(() -> passed.add("end"));
    assertEquals(List.of(), passed);
    runThreads();
    assertEquals(List.of("e1", "e2", "e3", "end"), passed);
    assertEquals(1, asked);
  }

  /** Guards against a delay or another thread where the answer is known at once. */
  @Test
  void knownAnswerPassesAtOnce() {
    answer.complete(true);
    EventGate gate = gate();
    pass(gate, 1);
    pass(EventGate.open(outlet), 2);
    gate.end(() -> passed.add("end"));
    assertEquals(List.of("e1", "e2", "end"), passed);
    assertTrue(threads.isEmpty());
  }

  /** Guards against events after a refusal, and against an end that is never reported. */
  @Test
  void refusalDropsEventsAndKeepsTheEnd() {
    EventGate gate = gate();
    pass(gate, 1);
    gate.end(() -> passed.add("end"));
    answer.complete(false);
    assertFalse(gate.isRefused());
    runThreads();
    pass(gate, 2);
    assertTrue(gate.isRefused());
    assertEquals(List.of("refused", "end"), passed);
  }

  /** Guards against an end that is lost if it comes after the refusal or without any event. */
  @Test
  void endRunsAtOnceWhereNothingIsHeld() {
    gate().end(() -> passed.add("no event"));
    answer.complete(false);
    EventGate gate = gate();
    pass(gate, 1);
    runThreads();
    gate.end(() -> passed.add("end"));
    assertEquals(List.of("no event", "refused", "end"), passed);
  }
}
