package org.cowslipyoke.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.approvaltests.Approvals;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.pgm.story.Cause;
import org.junit.jupiter.api.Test;

/**
 * Guards against a cause that {@code explain} does not find or confuses with another. Each case is
 * a log that shows one cause; the approved text contains the conclusions.
 */
class ExplainCausesTest {

  private static final String OWN_ANSWER = "own answer: request=R route=r ";
  private static final String TIMED_OUT =
      OWN_ANSWER + "kind=OUTCOME_UNKNOWN reason=no answer came in time ";
  private static final String INCOMPLETE =
      OWN_ANSWER + "kind=INCOMPLETE reason=the answer broke off ";
  private static final String ATTEMPT_ENDED = "attempt ended: request=R server=i-1 end=";
  private static final String CALLER_LEFT = "caller left: request=R server=i-1 received=";
  private static final String FIRST_TOKEN = "first token: request=R server=i-1 tookMs=";
  private static final String ANSWER_PASSED_ON =
      "answer passed on: request=R server=i-1 status=200 bytes=8 tookMs=4 tries=1 framing=";
  private static final String NOT_READY =
      "refused: request=R kind=NOT_READY reason=old stateAgeMs=";
  private static final String STATE_NEVER_READ = NOT_READY;
  private static final String STATE_NEVER_READ_BEFORE = NOT_READY + Long.MAX_VALUE;
  private static final String OTHER_ANSWER = "answer passed on: request=o server=i-5 status=200";

  private final Map<String, String> conclusions = new TreeMap<>();
  private final Set<Cause> seen = EnumSet.noneOf(Cause.class);

  @Test
  void findsEachCauseFromItsLogLines() throws Exception {
    answers();
    servers();
    vms();
    refusals();
    noServer();
    missingEnds();
    StringBuilder all = new StringBuilder();
    conclusions.forEach((name, text) -> all.append(name).append(":\n  ").append(text).append('\n'));
    Approvals.verify(all);
    assertEquals(EnumSet.allOf(Cause.class), seen);
  }

  private void answers() throws Exception {
    conclude("answer whole", "9 a " + ANSWER_PASSED_ON + "LENGTH");
    conclude("answer unframed", "9 a " + ANSWER_PASSED_ON + "CONNECTION");
    conclude(
        "answer unframed, server gone",
        "9 a " + ANSWER_PASSED_ON + "CONNECTION",
        "11 b " + gone("i-1"));
    conclude(
        "late, long answer", "9 a " + CALLER_LEFT + "90 bytes, the last 20 ms ago elapsedMs=3000");
    conclude(
        "time is up in a slow answer",
        "5 a " + FIRST_TOKEN + "2000 expectedMs=150",
        "9 a answer cut: request=R reason=the time of the request is up received=9 bytes,"
            + " the last 40 ms ago elapsedMs=6000");
    conclude(
        "caller reads too slowly",
        "9 a answer cut: request=R reason=the caller does not read its answer elapsedMs=900");
    conclude("body", "9 a body not read: request=R reason=EofException");
    conclude("entry failed", "9 a request failed: request=R error=a bug");
  }

  private void servers() throws Exception {
    final String late = "9 a " + TIMED_OUT + "tries=1 elapsedMs=900 server=i-1";
    final String broken =
        "9 a " + ATTEMPT_ENDED + "BROKEN reason=Eof elapsedMs=90 leftMs=9 next=FAIL";
    conclude("server gone after", broken, "9 a " + INCOMPLETE, "13 b " + gone("i-1"));
    conclude("server gone long after", broken, "9 a " + INCOMPLETE, "19 b " + gone("i-1"));
    conclude("server gone long before", "1 b " + gone("i-1"), "25 a " + TIMED_OUT + "server=i-1");
    conclude("leaving", "8 a server changed: id=i-1 address=x leaving=true coldMs=0", late);
    conclude("started", "8 a server changed: id=i-1 address=x leaving=false coldMs=90", late);
    conclude(
        "silent for others too",
        "1 b server changed: id=i-1 address=x leaving=false coldMs=0",
        late,
        "9.5 b cache reader lost: address=x reason=timeout");
    conclude(
        "silent and back",
        "1 b server changed: id=i-1 address=x leaving=false coldMs=0",
        "6 b cache reader lost: address=x reason=timeout",
        "7 b cache reader regained: address=x reason=",
        late);
    String order = "5 b order given: server=i-1 model=m version=3";
    conclude("weights loading", order, late);
    conclude("weights loaded", order, "8 b server changed: id=i-1 address=x weights={m=3}", late);
    conclude(
        "server fails for others", late, "9.1 b attempt ended: request=o server=i-1 end=BROKEN");
    conclude("one attempt failed", broken, "9 a " + INCOMPLETE);
    conclude("stalled", "9 a " + CALLER_LEFT + "90 bytes, the last 2000 ms ago elapsedMs=3000");
    conclude("no byte", "9 a " + CALLER_LEFT + "none elapsedMs=3000");
    conclude("504 without a server", "9 a " + TIMED_OUT + "tries=1 elapsedMs=400");
    conclude(
        "time spent",
        "8 a "
            + ATTEMPT_ENDED
            + "NOT_SENT reason=Connect Timeout elapsedMs=500 leftMs=100 next=AGAIN",
        "9 a " + TIMED_OUT + "tries=2 elapsedMs=600");
    conclude(
        "application",
        "8 a " + ATTEMPT_ENDED + "FAILED reason=status 500 elapsedMs=5 leftMs=100 next=PASS_ON",
        "8.1 b attempt ended: request=o server=i-1 end=FAILED reason=status 500");
  }

  private void vms() throws Exception {
    String late = "9.9 a " + TIMED_OUT + "tries=1 elapsedMs=4000 server=i-1";
    String[] busy = new String[201];
    Arrays.setAll(busy, i -> String.format("%.3f a %s", 4 + i * 0.01, OTHER_ANSWER));
    busy[200] = late;
    conclude("frozen", busy);
    conclude("quiet VM", "3 a " + OTHER_ANSWER, "4 a " + OTHER_ANSWER, late);
    conclude(
        "network of the VM",
        "9 a attempt ended: request=o server=i-1 end=NOT_SENT",
        "9 a attempt ended: request=p server=i-2 end=NOT_SENT",
        "9 b answer passed on: request=q server=i-1 status=200",
        late);
  }

  private void refusals() throws Exception {
    final String started = "5 a started: vm=a";
    conclude(
        "store lost", "5 a store lost: reading=operator reason=t", "9 a " + NOT_READY + "5000");
    conclude(
        "store lost and back",
        "5 a store lost: reading=operator reason=t",
        "6 a store regained: reading=operator reason=",
        "9 a " + NOT_READY + "5000");
    conclude("state old", "9 a " + NOT_READY + "5000");
    conclude("just started", started, "9 a " + STATE_NEVER_READ);
    conclude("just started, start not logged", "9 a " + STATE_NEVER_READ);
    conclude("just started, line of an earlier build", started, "9 a " + STATE_NEVER_READ_BEFORE);
    String stop = "9 a refused: request=R kind=SHUTTING_DOWN reason=the process stops stateAgeMs=9";
    conclude("stopping", "5 a stopping: running=8", stop);
    conclude("stopping, begin not logged", "5 b stopping: running=8", stop);
    String key = "9 a refused: request=R kind=UNAUTHENTICATED reason=the key is not known";
    conclude("key not known", key);
    conclude("key revoked", "5 a desired state in force: version=13 routes=1", key);
    conclude("limit", "9 a refused: request=R kind=RATE_LIMITED reason=too many");
  }

  private void noServer() throws Exception {
    final String none =
        "9 a " + OWN_ANSWER + "kind=NO_SERVER reason=no server is available tries=0";
    final String busy =
        "9 a " + OWN_ANSWER + "kind=DEADLINE_TOO_SHORT reason=expected in 900 ms tries=0";
    conclude("no server", "8 a " + gone("i-1"), "8 a failure domains out: now=[x] before=[]", none);
    conclude("no server, other VM", "8 b " + gone("i-1"), none);
    conclude("busy", busy);
    conclude("busy and loading", "7 b order given: server=i-4 model=m version=3", busy);
    String full =
        "8 a " + ATTEMPT_ENDED + "REFUSED reason=status 503 elapsedMs=5 leftMs=100 next=FAIL";
    conclude("full", full, "9 a " + OWN_ANSWER + "kind=OVERLOADED reason=none took it");
    conclude(
        "other incarnation",
        "8 a " + ATTEMPT_ENDED + "MISDIRECTED reason=421 elapsedMs=5 leftMs=100 next=FAIL",
        "9 a " + OWN_ANSWER + "kind=OVERLOADED reason=none took it");
  }

  private void missingEnds() throws Exception {
    String first = "9 a " + FIRST_TOKEN + "100 expectedMs=100";
    final String more = "14 a " + OTHER_ANSWER;
    conclude("cut by stop", "8 a stopping: running=8", first, "14 a drained: running=2 tookMs=6");
    conclude("stop unfinished", first, "11 a stopping: running=8", "14 a started: vm=a");
    conclude("process ended", first, "14 a started: vm=a");
    conclude("log ends", first, "9.5 a " + OTHER_ANSWER);
    conclude("answers not logged", first, "14 a load reports regained: reason=");
    conclude("line lost", first, more);
  }

  private static String gone(String server) {
    return "server gone: id=" + server + " group=g address=x";
  }

  /** Runs {@code explain} on lines that consist of a time in seconds, a VM and a message. */
  private void conclude(String name, String... lines) throws Exception {
    LogText log = new LogText();
    for (String line : lines) {
      String[] parts = line.split(" ", 3);
      log.line(parts[0], parts[1], 0, parts[2]);
    }
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    int code =
        Main.run(
            new String[] {"explain", "--json", "--request", "R", "-"},
            new ByteArrayInputStream(log.text().getBytes(StandardCharsets.UTF_8)),
            new PrintWriter(out, true),
            new PrintWriter(err, true),
            ExplainCommandTest.unreachablePlatform(),
            new ManualClock());
    assertEquals(Main.DONE, code, err.toString());
    JsonNode n = new ObjectMapper().readTree(out.toString());
    seen.add(Cause.valueOf(n.path("cause").asText()));
    conclusions.put(name, n.path("cause").asText() + ", " + n.path("conclusion").asText());
  }
}
