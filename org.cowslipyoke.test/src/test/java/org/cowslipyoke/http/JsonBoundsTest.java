package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipyoke.http.internal.LineReader;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

class JsonBoundsTest {

  private static byte[] utf8(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  /** Guards against answers that exhaust the stack or memory, and against other JSON types. */
  @Test
  void deepLongAndForeignDocumentsAreRefused() {
    List<String> bad =
        List.of(
            "{\"a\":" + "[".repeat(40) + "]".repeat(40) + "}",
            "{\"a\":\"" + "x".repeat((2 << 20) + 1) + "\"}",
            "{\"a\":" + "9".repeat(100) + "}",
            "[1]",
            "{\"a\":1}{\"a\":2}",
            "{\"a\":1} more",
            "",
            "{\"a\":",
            "nonsense");
    for (String b : bad) {
      assertThrows(MalformedResponseException.class, () -> Json.parse(utf8(b)));
    }
  }

  /** Guards against a cut line that passes for a whole one, and against endless lines. */
  @Test
  void linesAreBoundedAndCutLinesDropped() throws Exception {
    LineReader r = new LineReader(new ByteArrayInputStream(utf8("ab\n\ncd\nef")), 10);
    assertArrayEquals(utf8("ab"), r.next());
    assertArrayEquals(new byte[0], r.next());
    assertArrayEquals(utf8("cd"), r.next());
    assertNull(r.next());
    LineReader tooLong = new LineReader(new ByteArrayInputStream(new byte[50]), 10);
    assertThrows(MalformedResponseException.class, tooLong::next);
  }
}
