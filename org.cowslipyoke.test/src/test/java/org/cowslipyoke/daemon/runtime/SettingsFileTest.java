package org.cowslipyoke.daemon.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against misread settings and against wrong exit codes of the daemon. */
class SettingsFileTest {

  private static final String ENTRY =
      """
      {"vm": "entry-1", "role": "entry", "failureDomain": "santarem",
       "listen": {"host": "127.0.0.1", "httpPort": 0, "framePort": 0},
       "platform": {"table": "http://127.0.0.1:7001", "objects": "http://127.0.0.1:7002",
                    "vms": "http://127.0.0.1:7003", "weights": "http://127.0.0.1:7004"}}
      """;

  private static final String BACKEND =
      "\"backend\": {\"group\": \"assistente\", \"engine\": \"http://127.0.0.1:7101\"}, \"vm\"";

  @Test
  void readsBothRoles() {
    Settings entry = SettingsFile.parse(ENTRY).get();
    assertEquals("cost", entry.policy());
    assertEquals(2_000, entry.drainDelayMs());
    assertNull(entry.backend());
    assertEquals(new Settings.Callers(0, 0, 0), entry.callers());
    String callers = "\"callers\": {\"memoryBytes\": 9, \"maxConnectionsPerAddress\": 7}, \"vm\"";
    Settings limited = SettingsFile.parse(ENTRY.replace("\"vm\"", callers)).get();
    assertEquals(new Settings.Callers(9, 0, 7), limited.callers());
    Settings server = SettingsFile.parse(server(BACKEND)).get();
    assertEquals("http://127.0.0.1:7101", backend(server).engine());
    assertNull(backend(server).service());
  }

  @Test
  void messagesNamePathValueAndRule() {
    StringBuilder out = new StringBuilder();
    for (String json :
        new String[] {
          ENTRY.replace("\"entry\"", "\"router\""),
          ENTRY.replace("\"httpPort\": 0", "\"httpPort\": 70000, \"port\": 1"),
          ENTRY.replace("http://127.0.0.1:7001", "127.0.0.1:7001"),
          ENTRY.replace("\"vm\"", BACKEND),
          server("\"vm\""),
          server(BACKEND.replace("engine", "model")),
          server(BACKEND.replace("}", ", \"service\": \"http://127.0.0.1:1\"}")),
          server("\"policy\": \"cost\", " + BACKEND)
        }) {
      out.append(SettingsFile.parse(json).getLeft().message()).append("\n\n");
    }
    Approvals.verify(out);
  }

  @Test
  void exitCodesOfDaemon(@TempDir Path dir) throws IOException {
    assertEquals(Main.EXIT_OK, run("--help"));
    assertEquals(Main.EXIT_OK, run("--version"));
    assertEquals(Main.EXIT_USAGE, run());
    assertEquals(Main.EXIT_USAGE, run("--speed", "9"));
    assertEquals(Main.EXIT_USAGE, run("--settings", "a", "b"));
    assertEquals(Main.EXIT_FAILURE, run("--settings", dir.resolve("none").toString()));
    Path file = Files.writeString(dir.resolve("settings.json"), "{\"vm\": 1}");
    assertEquals(Main.EXIT_FAILURE, run("--settings", file.toString()));
  }

  private static int run(String... args) {
    StringWriter text = new StringWriter();
    PrintWriter out = new PrintWriter(text);
    int code =
        Main.run(
            args,
            out,
            out,
            c -> {
              throw new IllegalStateException("no role is expected");
            });
    assertTrue(text.toString().length() > 0);
    return code;
  }

  private static String server(String keyBeforeVm) {
    return ENTRY
        .replace("\"entry\"", "\"server\"")
        .replace("\"vm\"", keyBeforeVm.contains("\"vm\"") ? keyBeforeVm : keyBeforeVm + ", \"vm\"");
  }

  private static Settings.Backend backend(Settings settings) {
    return java.util.Objects.requireNonNull(settings.backend());
  }
}
