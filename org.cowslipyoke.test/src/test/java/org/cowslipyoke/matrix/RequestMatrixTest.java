package org.cowslipyoke.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import org.approvaltests.Approvals;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.matrix.MatrixRequest.Kind;
import org.cowslipyoke.matrix.MatrixWorld.Injection;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Every fault at every step of a request, alone, twice in a row, and in pairs. Guards against a
 * lost or wrong answer, a second execution of a non-idempotent request, a refusal that is not true,
 * new work on a closed server, work above the cold-start allowance, and a request without an end.
 */
class RequestMatrixTest {

  private static final long LIMIT_MS = 130_000;
  private static final long REPEAT_AFTER_MS = 70_000;

  /** Longer than a freeze, so that late effects are seen. */
  private static final long SETTLE_MS = 15_000;

  /** What a caller saw, and what a repeat with the same key saw later. */
  private record Cell(String text, List<String> violations, boolean reached) {}

  @ParameterizedTest
  @EnumSource(Kind.class)
  void singleFaults(Kind kind) {
    StringBuilder table = new StringBuilder();
    List<String> violations = new ArrayList<>();
    for (Fault f : Fault.values()) {
      table.append(f).append('\n');
      for (Step s : Step.values()) {
        Cell once = run(kind, List.of(new Injection(s, f, 1)));
        Cell twice = run(kind, List.of(new Injection(s, f, 2)));
        String text = once.reached() ? once.text() + " / twice: " + twice.text() : "not taken";
        table.append("  ").append(s).append(": ").append(text).append('\n');
        once.violations().forEach(v -> violations.add(f + " at " + s + ": " + v));
        twice.violations().forEach(v -> violations.add(f + " twice at " + s + ": " + v));
      }
    }
    assertEquals(List.of(), violations);
    Approvals.verify(table.toString(), Approvals.NAMES.withParameters(kind.name()));
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void pairsOfFaults(Kind kind) {
    List<String> violations = new ArrayList<>();
    for (Fault f : Fault.values()) {
      for (Step s : Step.values()) {
        Injection first = new Injection(s, f, 1);
        for (Fault g : Fault.values()) {
          for (Step t : EnumSet.range(s, Step.EXPORTED)) {
            Cell c = run(kind, List.of(first, new Injection(t, g, 1)));
            c.violations()
                .forEach(v -> violations.add(f + " at " + s + ", " + g + " at " + t + ": " + v));
          }
        }
      }
    }
    assertEquals(List.of(), violations.stream().limit(20).toList(), violations.size() + " cells");
  }

  private static Cell run(Kind kind, List<Injection> injections) {
    MatrixWorld world = new MatrixWorld(injections);
    String text = submit(world, kind, "r-1");
    if (kind.keyed()) {
      world.time.run(REPEAT_AFTER_MS, () -> false);
      text = text + ", repeat: " + submit(world, kind, "r-2");
    }
    world.check(
        kind.idempotent() || world.executions("r-1") + world.executions("r-2") <= 1,
        "a non-idempotent request ran twice");
    boolean reached = injections.stream().map(Injection::step).allMatch(world.reached::contains);
    return new Cell(text, world.violations, reached);
  }

  /** Submits a request, waits for its end, and checks what its caller was told. */
  private static String submit(MatrixWorld world, Kind kind, String id) {
    world.entry.submit(kind, id);
    world.time.run(LIMIT_MS, () -> world.entry.result != null);
    String result = world.entry.result;
    world.time.run(SETTLE_MS, () -> false);
    Failure refusal = world.entry.refusal;
    if (result == null) {
      world.check(false, "no end");
      return "no end";
    }
    if (result.equals("whole")) {
      world.check(isOwn(world, kind), "the answer is not whole or not the request's own");
    } else if (refusal != null && refusal.outcome() == Outcome.NOT_RUN) {
      world.check(world.entry.executions() == 0, "reported as not run but executed");
    }
    return result;
  }

  /** A repeat with the key of an earlier request gets that request's answer. */
  private static boolean isOwn(MatrixWorld world, Kind kind) {
    if (kind.isPrompt()) {
      return world.entry.answer.equals(MatrixWorld.expectedAnswer(MatrixRequest.PROMPT));
    }
    return world.entry.answer.equals("booked r-1") || world.entry.answer.equals("booked r-2");
  }
}
