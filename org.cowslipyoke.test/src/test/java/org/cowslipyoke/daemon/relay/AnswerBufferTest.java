package org.cowslipyoke.daemon.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerBufferTest {

  private final AnswerMemory memory = new AnswerMemory();

  private static boolean fill(AnswerBuffer b, int bytes) {
    return b.add(ByteBuffer.allocate(bytes));
  }

  @Test
  void answerAboveTheBoundIsRefused() {
    AnswerBuffer b = new AnswerBuffer(memory);
    assertTrue(fill(b, AnswerBuffer.MAX_BYTES));
    assertFalse(fill(b, 1));
    assertEquals(AnswerBuffer.MAX_BYTES, b.size());
  }

  /** Guards against large answers that leave no memory to the small ones of other callers. */
  @Test
  void smallAnswersHaveRoomBesideLargeOnes() {
    List<AnswerBuffer> large = new ArrayList<>();
    AnswerBuffer last = new AnswerBuffer(memory);
    while (fill(last, AnswerBuffer.MAX_BYTES)) {
      large.add(last);
      last = new AnswerBuffer(memory);
    }
    assertTrue((long) large.size() * AnswerBuffer.MAX_BYTES >= AnswerMemory.COMMON_BYTES);
    assertTrue(fill(new AnswerBuffer(memory), AnswerMemory.OWN_BYTES));
    large.get(0).release();
    assertTrue(fill(last, AnswerBuffer.MAX_BYTES));
  }
}
