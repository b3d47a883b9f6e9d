package org.cowslipyoke.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** Guards against patches that skip a change, and against unbounded memory. */
class PatchHistoryTest {

  private final PatchHistory history = new PatchHistory();

  @Test
  void combinesChangesFromAnyKeptVersion() {
    for (int i = 1; i <= 5; i++) {
      history.add(i, i + 1, change(i));
    }
    ObjectNode expected = change(3);
    expected.setAll(change(4));
    expected.setAll(change(5));
    assertEquals(expected, history.between(3, 6).orElseThrow());
  }

  @Test
  void keepsLast128Changes() {
    for (int i = 0; i < 200; i++) {
      history.add(i, i + 1, change(i));
    }
    assertEquals(PatchHistory.CAPACITY, history.size());
    assertTrue(history.between(71, 200).isEmpty());
    assertEquals(128, history.between(72, 200).orElseThrow().size());
  }

  @Test
  void gapDiscardsOlderChanges() {
    history.add(1, 2, change(1));
    history.add(5, 6, change(5));
    assertTrue(history.between(1, 6).isEmpty());
    assertTrue(history.between(5, 6).isPresent());
  }

  @Test
  void versionBetweenChangesIsNotKept() {
    history.add(1, 4, change(1));
    assertTrue(history.between(2, 4).isEmpty());
  }

  private static ObjectNode change(int i) {
    return JsonNodeFactory.instance.objectNode().put("k" + i, i);
  }
}
