package org.cowslipyoke.util;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against uneven placement and against moving keys whose node was not removed. */
class RendezvousTest {

  private static final List<String> NODES =
      IntStream.range(0, 10).mapToObj(i -> "vm-" + i).toList();

  @Test
  void removingNodeMovesOnlyItsKeys() {
    List<String> fewer = NODES.subList(0, 9);
    for (int i = 0; i < 1000; i++) {
      String before = first(i, NODES);
      if (!before.equals("vm-9")) {
        assertEquals(before, first(i, fewer));
      }
    }
  }

  @Test
  void spreadsKeysEvenly() {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 10_000; i++) {
      counts.merge(first(i, NODES), 1, Integer::sum);
    }
    // 1,000 expected; the bound is more than 6 standard deviations of a binomial.
    assertTrue(counts.values().stream().allMatch(c -> c > 800 && c < 1200), counts.toString());
  }

  private static String first(int i, List<String> nodes) {
    byte[] key = ("conversation-" + i).getBytes(StandardCharsets.UTF_8);
    return Rendezvous.top(key, nodes, n -> n, 1).get(0);
  }
}
