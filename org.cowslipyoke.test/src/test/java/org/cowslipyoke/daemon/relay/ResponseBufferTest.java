package org.cowslipyoke.daemon.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseBufferTest {

  private final ResponseMemoryBudget memory = new ResponseMemoryBudget();

  private static boolean fill(ResponseBuffer b, int bytes) {
    return b.add(ByteBuffer.allocate(bytes));
  }

  @Test
  void responseAboveTheLimitIsRefused() {
    ResponseBuffer b = new ResponseBuffer(memory);
    assertTrue(fill(b, ResponseBuffer.MAX_BYTES));
    assertFalse(fill(b, 1));
    assertEquals(ResponseBuffer.MAX_BYTES, b.size());
  }

  /** Guards against large responses that leave no memory for small ones of other callers. */
  @Test
  void smallResponsesHaveMemoryBesideLargeOnes() {
    List<ResponseBuffer> large = new ArrayList<>();
    ResponseBuffer last = new ResponseBuffer(memory);
    while (fill(last, ResponseBuffer.MAX_BYTES)) {
      large.add(last);
      last = new ResponseBuffer(memory);
    }
    assertTrue((long) large.size() * ResponseBuffer.MAX_BYTES >= ResponseMemoryBudget.SHARED_BYTES);
    assertTrue(fill(new ResponseBuffer(memory), ResponseMemoryBudget.RESERVED_BYTES));
    large.get(0).release();
    assertTrue(fill(last, ResponseBuffer.MAX_BYTES));
  }
}
