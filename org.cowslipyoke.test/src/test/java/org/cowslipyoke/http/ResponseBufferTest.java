package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseBufferTest {

  private static final int MAX_BYTES = 4 << 20;
  private static final long SHARED_BYTES = 16L << 20;

  private final ResponseMemoryBudget memory = new ResponseMemoryBudget(SHARED_BYTES);

  private static boolean fill(ResponseBuffer b, int bytes) {
    return b.add(ByteBuffer.allocate(bytes));
  }

  @Test
  void responseAboveTheLimitIsRefused() {
    ResponseBuffer b = new ResponseBuffer(memory, MAX_BYTES);
    assertTrue(fill(b, MAX_BYTES));
    assertFalse(fill(b, 1));
    assertEquals(MAX_BYTES, b.size());
  }

  /** Guards against large responses that leave no memory for small ones of other callers. */
  @Test
  void smallResponsesHaveMemoryBesideLargeOnes() {
    List<ResponseBuffer> large = new ArrayList<>();
    ResponseBuffer last = new ResponseBuffer(memory, MAX_BYTES);
    while (fill(last, MAX_BYTES)) {
      large.add(last);
      last = new ResponseBuffer(memory, MAX_BYTES);
    }
    assertTrue((long) large.size() * MAX_BYTES >= SHARED_BYTES);
    assertTrue(fill(new ResponseBuffer(memory, MAX_BYTES), ResponseMemoryBudget.RESERVED_BYTES));
    large.get(0).release();
    assertTrue(fill(last, MAX_BYTES));
  }
}
