package org.cowslipyoke.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a launcher that hangs on, hides or leaves behind a process. */
@Timeout(60)
class LocalProcessTest {

  @TempDir Path folder;

  @Test
  void readyLineIsReadAndProcessIsEnded() throws Exception {
    String script = "echo starting; echo '{\"event\":\"ready\",\"port\":7}'; exec sleep 600";
    LocalProcess process = LocalProcess.start("ready", List.of("bash", "-c", script), folder);
    try {
      assertEquals(7, process.awaitReady().path("port").asInt());
      process.signal("STOP");
      process.signal("CONT");
      assertTrue(process.isAlive());
    } finally {
      process.terminate();
    }
    assertTrue(process.awaitExit(10_000));
  }

  @Test
  void processThatEndsBeforeItIsReadyIsReportedWithItsOutput() throws Exception {
    LocalProcess process =
        LocalProcess.start("failing", List.of("bash", "-c", "echo no settings; exit 2"), folder);
    BenchException e = assertThrows(BenchException.class, process::awaitReady);
    assertTrue(String.valueOf(e.getMessage()).contains("no settings"), e.getMessage());
    assertTrue(process.awaitExit(10_000));
    assertFalse(process.isAlive());
  }
}
