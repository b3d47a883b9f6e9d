package org.cowslipyoke.pgm.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against values truncated at a space and against text in a value parsed as a field. */
class LogLineParserTest {

  private static final String TIME = "{\"time\":\"2026-09-08T16:14:17.469Z\",\"message\":\"";

  @Test
  void readsValueUpToNextName() {
    LogLine l =
        parse(
            "attempt ended: request=a1 server=i-1 end=BROKEN reason=IOException: no such thing"
                + " tries=2 elapsedMs=46 next=AGAIN");
    assertEquals(Event.ATTEMPT_ENDED, l.event());
    assertEquals("IOException: no such thing", l.field("reason"));
    assertEquals(2, l.number("tries").orElseThrow());
    assertEquals("i-1", l.server());
    assertTrue(l.isOfRequest("a1"));
    assertEquals("", l.field("leftMs"));
    assertTrue(l.number("end").isEmpty());
  }

  @Test
  void usesFirstValueOfName() {
    LogLine l = parse("own answer: request=a1 route=r reason=got request=b2 kind=X");
    assertTrue(l.isOfRequest("a1"));
    assertEquals("X", l.field("kind"));
  }

  @Test
  void parsesMessagesWithoutFieldsAndUnknownMessages() {
    assertEquals(Event.STOPPED, parse("stopped").event());
    assertEquals(Event.OTHER, parse("writeError: status=500").event());
    assertEquals("", parse("stopped").server());
    assertEquals("i-7", parse("server gone: id=i-7 group=g address=a:1").server());
  }

  @Test
  void readsTimeAndVmFromPrefix() {
    LogLine l = LogLineParser.parse("  24.6169 edge-a-1 " + TIME + "stopped\"}", "f").orElseThrow();
    assertEquals(24_617, l.prefixMs());
    assertEquals("edge-a-1", l.vm());
    LogLine m = LogLineParser.parse("edge-a-1  | " + TIME + "stopped\"}", "f").orElseThrow();
    assertEquals("edge-a-1", m.vm());
    assertEquals(LogLine.NO_PREFIX, m.prefixMs());
    assertEquals("f", parse("stopped").vm());
  }

  private static LogLine parse(String message) {
    return LogLineParser.parse(TIME + message + "\"}", "f").orElseThrow();
  }
}
