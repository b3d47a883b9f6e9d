package org.cowslipyoke.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against memory use that grows with standard input and against lost lines. */
class LogSourceTest {

  @Test
  void buffersStandardInputUpToBound() throws Exception {
    String text = "first\nnot kept\nsecond\nthird";
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    LogSource s = new LogSource(LogSource.STANDARD_INPUT, new ByteArrayInputStream(bytes), 12);
    s.readFirstPass(l -> !l.startsWith("not"), () -> false);
    List<String> again = new ArrayList<>();
    s.readSecondPass(again::add);
    assertEquals(List.of("second", "third"), again);
    assertEquals(1, s.droppedLines());
  }

  @Test
  void keepsLinesAroundRequest() throws Exception {
    byte[] bytes = "aaaa\nbbbb\nhere\ncccc\ndddd\neeee".getBytes(StandardCharsets.UTF_8);
    LogSource s = new LogSource(LogSource.STANDARD_INPUT, new ByteArrayInputStream(bytes), 16);
    List<String> seen = new ArrayList<>();
    s.readFirstPass(seen::add, () -> seen.contains("here"));
    List<String> again = new ArrayList<>();
    s.readSecondPass(again::add);
    assertEquals(List.of("aaaa", "bbbb", "here", "cccc"), again);
    assertEquals(2, s.droppedLines());
  }

  @Test
  void truncatesLongLineAndReadsNextLineWhole() throws IOException {
    String text = "a\n\n" + "b".repeat(2 * BoundedLineReader.MAX_BYTES) + "\nsäge\n";
    try (BoundedLineReader lines =
        new BoundedLineReader(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)))) {
      assertEquals("a", lines.readLine());
      assertEquals("", lines.readLine());
      assertEquals("b".repeat(BoundedLineReader.MAX_BYTES), lines.readLine());
      assertEquals("säge", lines.readLine());
      assertEquals(null, lines.readLine());
    }
  }
}
