package org.cowslipyoke.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cowslipyoke.config.Deployments;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.platform.VmList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against wrong exit codes and against edits that overwrite another edit. */
class MainTest {

  private static final String URL = "http://127.0.0.1:1";
  private static final String DEPLOYMENT = "tungysh";

  @TempDir Path dir = Path.of("");
  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private StringWriter out = new StringWriter();
  private StringWriter err = new StringWriter();
  private String places = "";
  private String credential = "";

  @BeforeEach
  void files() throws IOException {
    Deployments.seed(table, clock, DEPLOYMENT);
    places = file("places.json", Deployments.section(DEPLOYMENT, Section.PLACES));
    credential = file("places.txt", Deployments.credential(DEPLOYMENT, Section.PLACES) + "\n");
  }

  @Test
  void commandLineThatIsNotUnderstoodExitsWith2() {
    assertEquals(Main.USAGE, run());
    assertEquals(Main.USAGE, run("config"));
    assertEquals(Main.USAGE, run("config", "remove"));
    assertEquals(Main.USAGE, run("config", "validate", places));
    assertEquals(Main.USAGE, run("config", "validate", "--section", "horses", places));
    assertEquals(Main.USAGE, run("config", "validate", "--section", "places"));
    assertEquals(Main.USAGE, run("config", "show", "--section", "places", "--table", "x"));
    assertEquals(Main.USAGE, run("audit", "--table", URL, "--limit", "many"));
    assertEquals(Main.USAGE, run("audit", "--table", URL, "more"));
    assertEquals(Main.USAGE, run("status", "--vms", URL));
    assertEquals(Main.USAGE, run("--colour"));
    assertEquals("", out.toString());
  }

  @Test
  void commandThatIsDoneExitsWith0() {
    assertEquals(Main.DONE, run("--help"));
    assertEquals(Main.DONE, run("--version"));
    assertEquals(Main.DONE, run("config", "validate", "--section", "places", places));
    assertEquals(Main.DONE, run("config", "diff", "--section", "places", "--table", URL, places));
    assertEquals(Main.DONE, run("config", "history", "--section", "places", "--table", URL));
    assertEquals(Main.DONE, run("audit", "--table", URL, "--json"));
    assertEquals("", err.toString());
  }

  @Test
  void shownSectionIsEditedAndAppliedOnce() throws IOException {
    assertEquals(Main.DONE, run("config", "show", "--section", "places", "--table", URL));
    String edited = out.toString().replaceFirst("\"in\"", "\"out\"");
    String file = file("edited.json", edited);
    assertEquals(Main.DONE, apply(file));
    assertTrue(out.toString().contains("~ /failureDomains/almaty-a: \"in\" -> \"out\""));
    String second = file("second.json", edited.replaceFirst("\"in\"", "\"out\""));
    assertEquals(Main.FAILED, apply(second));
    assertTrue(err.toString().startsWith("conflict: section places has version 2, not 1"));
  }

  @Test
  void refusedCommandExitsWith1() throws IOException {
    assertEquals(Main.FAILED, apply(file("bad.json", "{}")));
    assertEquals(Main.FAILED, apply("does-not-exist.json"));
    table.setOutage(true);
    assertEquals(Main.FAILED, apply(places));
    assertTrue(err.toString().contains("nothing was changed"), err.toString());
    assertEquals(Main.FAILED, run("status", "--vms", URL, "--http-port", "8080"));
  }

  private int apply(String file) {
    return run(
        "config",
        "apply",
        "--section",
        "places",
        "--table",
        URL,
        "--credential-file",
        credential,
        "--reason",
        "test",
        "--who",
        "aizhan",
        file);
  }

  private String file(String name, String text) throws IOException {
    return Files.writeString(dir.resolve(name), text).toString();
  }

  private int run(String... args) {
    out = new StringWriter();
    err = new StringWriter();
    VmList vms =
        new VmList() {
          @Override
          public Either<Failure, java.util.Optional<Vm>> find(String vm) {
            return Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "down"));
          }

          @Override
          public Either<Failure, java.util.List<Vm>> list() {
            return Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "down"));
          }
        };
    Main.Platform platform = new Main.Platform(u -> table, u -> vms);
    return Main.run(args, new PrintWriter(out, true), new PrintWriter(err, true), platform, clock);
  }
}
