package org.cowslipyoke.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against output of {@code explain} that misses a line or blames the wrong component. The
 * approved texts contain the whole output; the logs are modelled on those of entries with such
 * faults.
 */
class ExplainCommandTest {

  private static final String ID = "5f309c2b9952233a";

  @TempDir Path dir = Path.of("");
  private StringWriter out = new StringWriter();
  private StringWriter err = new StringWriter();

  @Test
  void followsRetriedRequestAcrossTwoVms() throws IOException {
    LogText a =
        new LogText()
            .line(1_000, "stopping: running=3")
            .line(3_100, refused("SHUTTING_DOWN", "the process stops", 90))
            .line(4_000, "drained: running=0 tookMs=3000")
            .line(4_001, "stopped");
    LogText b =
        new LogText()
            .line(2_500, "server changed: id=i-1 group=g address=10.0.0.1:8320 leaving=true")
            .line(3_300, attempt("i-1", "NOT_SENT", "Connect Timeout", 1, 100, "AGAIN"))
            .line(3_400, passedOn("i-2", 200, "LENGTH", 2))
            .line(3_450, attempt("i-9", "BROKEN", "x", 1, 9, "FAIL").replace(ID, "another"));
    assertEquals(Main.DONE, run("--request", ID, file("edge-a.log", a), file("edge-b.log", b)));
    Approvals.verify(out);
  }

  @Test
  void blamesPlannedStopForCutRequest() throws IOException {
    LogText a =
        new LogText()
            .line(0, "started: vm=edge-a failureDomain=a front=10.0.0.9:80")
            .line(20_000, firstToken("i-1", 100, 110))
            .line(21_000, "stopping: running=80")
            .line(35_000, "drained: running=3 tookMs=14000")
            .line(35_001, "stopped")
            .line(37_000, "started: vm=edge-a failureDomain=a front=10.0.0.9:80")
            .line(38_000, passedOn("i-1", 200, "CHUNKED", 1).replace(ID, "another"));
    assertEquals(Main.DONE, run("--request", ID, file("edge-a.log", a)));
    Approvals.verify(out);
  }

  @Test
  void blamesLostStoreForRefusal() throws IOException {
    String lost = "store lost: reading=operator reason=Total timeout 800 ms elapsed";
    LogText a =
        new LogText()
            .line(1_000, "started: vm=edge-a failureDomain=a front=10.0.0.9:80")
            .line(1_500, "store lost: reading=operator reason=refused")
            .line(1_900, "store regained: reading=operator reason=")
            .line(40_000, lost)
            .line(40_100, "store lost: reading=entries reason=Total timeout 800 ms elapsed")
            .line(40_900, "store regained: reading=entries reason=")
            .line(61_000, "load reports lost: reason=x")
            .line(62_000, refused("NOT_READY", "the key can't be confirmed", 22_700));
    // The loss of the store at another VM does not explain the refusal.
    LogText b = new LogText().line(61_500, lost);
    assertEquals(Main.DONE, run("--request", ID, file("edge-a.log", a), file("edge-b.log", b)));
    Approvals.verify(out);
  }

  @Test
  void blamesGoneServerForBrokenResponse() throws IOException {
    LogText a =
        new LogText()
            .line(100, "server changed: id=i-1 group=g address=10.0.0.1:8320 leaving=false")
            .line(120, "server changed: id=i-2 group=g address=10.0.0.2:8320 leaving=false")
            .line(9_000, firstToken("i-1", 100, 110))
            .line(9_900, attempt("i-1", "BROKEN", "EofException", 1, 1_000, "CUT"))
            .line(9_901, cut("the server's answer broke off", "300 bytes, the last 90 ms ago"))
            .line(10_400, "cache reader lost: address=10.0.0.1:8320 reason=refused")
            .line(10_500, "cache reader lost: address=10.0.0.2:8320 reason=refused");
    LogText b =
        new LogText()
            .line(9_950, attempt("i-1", "BROKEN", "Eof", 1, 40, "AGAIN").replace(ID, "another"))
            .line(11_800, "server gone: id=i-1 group=g address=10.0.0.1:8320")
            .line(11_801, "server gone: id=i-3 group=g address=10.0.0.3:8320");
    assertEquals(Main.DONE, run("--request", ID, file("edge-a.log", a), file("edge-b.log", b)));
    Approvals.verify(out);
  }

  @Test
  void ordersLinesByPrefixTimeWhenClocksDiffer() {
    LogText all =
        new LogText()
            .line("24.7000", "edge-b", 700, attempt("i-2", "BROKEN", "Eof", 1, 50, "FAIL"))
            .line(
                "24.7010",
                "edge-b",
                701,
                ownAnswer("INCOMPLETE", "the server's answer broke off", 51))
            .line("-1.5000", "edge-a", 90_000, "server gone: id=i-1 group=g address=a:1")
            .line("20.0000", "edge-a", 98_000, refused("NOT_READY", "x", Long.MAX_VALUE))
            .line("24.6169", "edge-a", 99_000, "order given: server=i-2 model=m version=3 fence=1");
    assertEquals(Main.DONE, runWith(all.text(), "--request", ID, "-"));
    Approvals.verify(out);
  }

  @Test
  void countsLinesThatAreNotLogLines() throws IOException {
    LogText a =
        new LogText()
            .raw("Exception in thread \"main\" java.lang.Error: {" + ID + "}")
            .raw("{\"event\":\"ready\",\"vm\":\"edge-a\"}")
            .raw("{\"time\":\"yesterday\",\"message\":\"started\"}")
            .raw("")
            .raw("{\"time\":\"2026-09-08T16:14:00Z\",\"message\":\"cut in the mid")
            .raw("x".repeat(BoundedLineReader.MAX_BYTES) + "{" + "y".repeat(100_000))
            .line(100, ownAnswer("DEADLINE_TOO_SHORT", "the first event is expected in 900 ms", 1));
    assertEquals(Main.DONE, run("--request", ID, file("edge-a.log", a)));
    Approvals.verify(out);
  }

  @Test
  void exitsWith1WhenRequestIsNotInLogs() throws IOException {
    LogText a =
        new LogText()
            .line(0, "started: vm=edge-a failureDomain=a front=10.0.0.9:80")
            .line(10, passedOn("i-1", 200, "LENGTH", 1).replace(ID, "another"))
            .line(6_000, "stopping: running=0")
            .raw("garbage");
    assertEquals(Main.FAILED, run("--request", ID, file("edge-a.log", a)));
    assertEquals("", out.toString());
    Approvals.verify(err);
  }

  @Test
  void exitsWith1WhenFileIsNotReadable() throws IOException {
    String a = file("edge-a.log", new LogText().line(0, passedOn("i-1", 200, "LENGTH", 1)));
    assertEquals(Main.FAILED, run("--request", ID, a, dir.resolve("none.log").toString()));
    assertEquals(Main.FAILED, run("--request", ID, dir.toString(), a));
    assertEquals("", out.toString());
    assertTrue(err.toString().contains("can't be read"), err.toString());
  }

  @Test
  void exitsWith2OnInvalidCommandLine() {
    assertEquals(Main.USAGE, run("--request", ID));
    assertEquals(Main.USAGE, run("edge-a.log"));
    assertEquals(Main.USAGE, run("--request", ID, "--window", "-1", "edge-a.log"));
    assertEquals(Main.USAGE, run("--request", ID, "--window", "9999999", "edge-a.log"));
    assertEquals(Main.USAGE, run("--request", ID, "--limit", "none", "edge-a.log"));
  }

  @Test
  void omitsAndCountsLinesFarFromRequest() throws IOException {
    LogText a = new LogText();
    for (int i = 0; i < 700; i++) {
      a.line(i, "store regained: reading=" + i + " reason=");
    }
    String f = file("edge-a.log", a.line(700, passedOn("i-1", 200, "LENGTH", 1)));
    assertEquals(Main.DONE, run("--request", ID, "--limit", "3", f));
    assertTrue(out.toString().contains("end of the request: 697"), out.toString());
    assertTrue(out.toString().contains("reading=699"), out.toString());
    assertFalse(out.toString().contains("reading=696"), out.toString());
    assertEquals(Main.DONE, run("--request", ID, "--window", "0", f));
    assertFalse(out.toString().contains("reading=640 "), out.toString());
  }

  @Test
  void printsOutcomeAndCauseAsJson() throws IOException {
    String f = file("edge-a.log", new LogText().line(0, passedOn("i-1", 503, "LENGTH", 1)));
    assertEquals(Main.DONE, run("--json", "--request", ID, f));
    Approvals.verify(out);
  }

  private static String refused(String kind, String reason, long ageMs) {
    return "refused: request="
        + ID
        + " kind="
        + kind
        + " reason="
        + reason
        + " stateAgeMs="
        + ageMs;
  }

  private static String attempt(
      String server, String end, String reason, int tries, long ms, String next) {
    return String.format(
        "attempt ended: request=%s server=%s end=%s reason=%s tries=%d elapsedMs=%d leftMs=900"
            + " next=%s",
        ID, server, end, reason, tries, ms, next);
  }

  private static String ownAnswer(String kind, String reason, long ms) {
    return String.format(
        "own answer: request=%s route=r-1 kind=%s reason=%s tries=1 elapsedMs=%d",
        ID, kind, reason, ms);
  }

  private static String firstToken(String server, long tookMs, long expectedMs) {
    return String.format(
        "first token: request=%s server=%s tookMs=%d expectedMs=%d unread=5",
        ID, server, tookMs, expectedMs);
  }

  private static String cut(String reason, String received) {
    return String.format(
        "answer cut: request=%s reason=%s received=%s elapsedMs=1001", ID, reason, received);
  }

  private static String passedOn(String server, int status, String framing, int tries) {
    return String.format(
        "answer passed on: request=%s server=%s status=%d bytes=800 framing=%s tookMs=44 tries=%d",
        ID, server, status, framing, tries);
  }

  private String file(String name, LogText text) throws IOException {
    return Files.writeString(dir.resolve(name), text.text()).toString();
  }

  private int run(String... args) {
    return runWith("", args);
  }

  private int runWith(String standardInput, String... args) {
    out = new StringWriter();
    err = new StringWriter();
    String[] all = new String[args.length + 1];
    all[0] = "explain";
    System.arraycopy(args, 0, all, 1, args.length);
    byte[] in = standardInput.getBytes(StandardCharsets.UTF_8);
    return Main.run(
        all,
        new ByteArrayInputStream(in),
        new PrintWriter(out, true),
        new PrintWriter(err, true),
        unreachablePlatform(),
        new ManualClock());
  }

  /** Returns clients that fail on any access to the platform. */
  static Main.PlatformClients unreachablePlatform() {
    return new Main.PlatformClients(
        u -> {
          throw new IllegalStateException("explain reads no table");
        },
        u -> {
          throw new IllegalStateException("explain reads no list of VMs");
        });
  }
}
