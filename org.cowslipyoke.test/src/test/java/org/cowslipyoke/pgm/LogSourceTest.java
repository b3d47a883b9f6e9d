package org.cowslipyoke.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with standard input and against lines that get lost. */
class LogSourceTest {

  @Test
  void standardInputIsKeptUpToTheBound() throws Exception {
    String text = "first\nnot kept\nsecond\nthird";
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    LogSource s = new LogSource(LogSource.STANDARD_INPUT, new ByteArrayInputStream(bytes), 12);
    s.readFirst(l -> !l.startsWith("not"), () -> false);
    List<String> again = new ArrayList<>();
    s.readAgain(again::add);
    assertEquals(List.of("second", "third"), again);
    assertEquals(1, s.forgotten());
  }

  @Test
  void linesAroundTheRequestAreKept() throws Exception {
    byte[] bytes = "aaaa\nbbbb\nhere\ncccc\ndddd\neeee".getBytes(StandardCharsets.UTF_8);
    LogSource s = new LogSource(LogSource.STANDARD_INPUT, new ByteArrayInputStream(bytes), 16);
    List<String> seen = new ArrayList<>();
    s.readFirst(seen::add, () -> seen.contains("here"));
    List<String> again = new ArrayList<>();
    s.readAgain(again::add);
    assertEquals(List.of("aaaa", "bbbb", "here", "cccc"), again);
    assertEquals(2, s.forgotten());
  }

  @Test
  void linesAreCutAtTheBoundAndTheNextOneIsWhole() throws IOException {
    String text = "a\n\n" + "b".repeat(2 * BoundedLines.MAX_BYTES) + "\nsäge\n";
    try (BoundedLines lines =
        new BoundedLines(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)))) {
      assertEquals("a", lines.next());
      assertEquals("", lines.next());
      assertEquals("b".repeat(BoundedLines.MAX_BYTES), lines.next());
      assertEquals("säge", lines.next());
      assertEquals(null, lines.next());
    }
  }
}
