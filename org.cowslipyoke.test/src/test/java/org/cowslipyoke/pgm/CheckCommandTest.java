package org.cowslipyoke.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.cowslipyoke.config.Deployments;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.api.ReadConfiguration;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks documents that differ from an example deployment. */
class CheckCommandTest {

  private static final String URL = "http://127.0.0.1:1";
  private static final String DEPLOYMENT = "cooperativa";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @TempDir Path dir = Path.of("");
  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private static ObjectNode document() throws IOException {
    return document(DEPLOYMENT);
  }

  private static ObjectNode document(String deployment) throws IOException {
    ObjectNode d = MAPPER.createObjectNode();
    for (Section s : Section.values()) {
      d.set(s.wireName(), MAPPER.readTree(Deployments.section(deployment, s)));
    }
    return d;
  }

  /** Sets the value at a path whose last part is a key. */
  private static void set(JsonNode document, String path, String json) throws IOException {
    int last = path.lastIndexOf('/');
    ObjectNode parent = (ObjectNode) document.at(path.substring(0, last));
    parent.set(path.substring(last + 1), MAPPER.readTree(json));
  }

  private String file(String name, JsonNode content) throws IOException {
    return Files.writeString(dir.resolve(name), content.toString()).toString();
  }

  private int run(String... args) {
    out.getBuffer().setLength(0);
    err.getBuffer().setLength(0);
    List<String> all = new ArrayList<>(List.of("config", "check"));
    all.addAll(List.of(args));
    Main.PlatformClients platform =
        new Main.PlatformClients(
            u -> table,
            u -> {
              throw new IllegalStateException("not used");
            });
    return Main.run(
        all.toArray(String[]::new),
        new PrintWriter(out, true),
        new PrintWriter(err, true),
        platform,
        clock);
  }

  /** Guards against findings for documents that mean what they state. */
  @Test
  void exampleDeploymentsHaveNoFindings() throws IOException {
    assertEquals(Main.DONE, run(file("tungysh.json", document("tungysh"))));
    assertEquals("errors: 0, warnings: 0\n", out.toString());
    String file = file("document.json", document());
    assertEquals(Main.DONE, run(file));
    assertEquals("errors: 0, warnings: 0\n", out.toString());
    assertEquals(Main.DONE, run(file, "--against", file));
    assertEquals("no section changes\nerrors: 0, warnings: 0\n", out.toString());
  }

  /** Guards against a check that stops at the first finding, and against unclear messages. */
  @Test
  void findsAllAtOnce() throws IOException {
    ObjectNode d = document();
    set(d, "/limits/maxBodyBytes", "0");
    set(d, "/limits/retries", "3");
    set(d, "/limits/costPerToken", "\"high\"");
    set(d, "/models/models/assistente/group", "\"none\"");
    set(d, "/models/models/assistente/adapters", "[\"a\", \"a\"]");
    set(d, "/models/editors", d.at("/places/editors").toString());
    set(d, "/places/groups/spare", "{\"fencing\": \"enforced\", \"weightStore\": \"\"}");
    set(d, "/places/services/vets", "{\"prefix\": \"/marcacoes/vets\", \"group\": \"marcacoes\"}");
    set(
        d,
        "/places/services/vets/notRepeatable",
        "[{\"method\": \"POST\", \"path\": \"/visits/today\"},"
            + " {\"method\": \"*\", \"path\": \"/visits\"},"
            + " {\"method\": \"PUT\", \"path\": \"/marcacoes/vets/1\"}]");
    for (String domain : List.of("golega", "almeirim", "coruche")) {
      set(d, "/places/failureDomains/" + domain, "\"out\"");
    }
    String organisations = "/organisations/organisations/";
    JsonNode key = d.at(organisations + "quinta-do-freixo/keyHashes");
    set(d, organisations + "casa-das-eguas/keyHashes", key.toString());
    set(d, organisations + "monte-da-cortica/keyHashes", "[]");
    set(d, organisations + "monte-da-cortica/requestsPerSecond", "0");
    assertEquals(Main.FAILED, run(file("document.json", d)));
    Approvals.verify(out + "\n" + err);
    assertEquals(Main.FAILED, run(file("document.json", d), "--json"));
    JsonNode first = MAPPER.readTree(out.toString()).at("/findings/0");
    assertEquals("/organisations/casa-das-eguas/keyHashes", first.path("path").asText());
  }

  /** Guards against differences in form, and against contradictions between two sections. */
  @Test
  void showsWhatDiffersByMeaning() throws IOException {
    ObjectNode d = document();
    set(d, "/limits/costPerTtftMs", "1");
    set(d, "/limits/defaultDeadlineMs", "1000");
    set(d, "/models/models/assistente/weightVersion", "\"v2\"");
    String before = file("before.json", document());
    assertEquals(Main.DONE, run(file("after.json", d), "--against", before));
    Approvals.verify(out + "\n" + err);
  }

  /** Guards against a check that says something else than what the daemons do. */
  @Test
  void agreesWithApply() throws IOException {
    Deployments.seed(table, clock, DEPLOYMENT);
    String[][] edits = {
      {"places", "/failureDomains/golega", "\"out\""},
      {"places", "/failureDomains/golega", "\"away\""},
      {"places", "/services/marcacoes/group", "\"assistente\""},
      {"places", "/services/marcacoes/prefix", "\"/v1/x\""},
      {"places", "/stores/memoria/copies", "2"},
      {"places", "/groups/spare", "{\"fencing\": \"enforced\", \"weightStore\": \"\"}"},
      {"models", "/models/assistente/group", "\"marcacoes\""},
      {"models", "/models/assistente/maxTokens", "0"},
      {"limits", "/retries", "3"},
      {"organisations", "/organisations/casa-das-eguas/weight", "0"},
    };
    int refused = 0;
    for (String[] e : edits) {
      Section section = Section.parse(e[0]).get();
      JsonNode edited = MAPPER.readTree(Deployments.section(DEPLOYMENT, section));
      set(edited, e[1], e[2]);
      String file = file("section.json", edited);
      String version = ReadConfiguration.from(table).headVersion().get().toString();
      int code = run("--section", e[0], "--against", version, "--table", URL, file);
      var applied = Deployments.apply(table, clock, DEPLOYMENT, section, edited.toString()).call();
      assertEquals(applied.isRight(), code == Main.DONE, String.join(" ", e) + applied);
      if (applied.isLeft()) {
        refused++;
        for (String message : applied.getLeft().message().split("\n", -1)) {
          assertTrue(out.toString().contains(message), message + " in " + out);
        }
      }
    }
    assertEquals(7, refused);
  }

  /** Guards against wrong exit codes. */
  @Test
  void exitsWith1Or2() throws IOException {
    String file = file("document.json", document());
    assertEquals(Main.USAGE, run());
    assertEquals(Main.USAGE, run(file, "--against", "7"));
    assertEquals(Main.USAGE, run(file, "--section", "horses"));
    assertEquals(Main.FAILED, run(file, "--against", "7", "--table", URL));
    assertTrue(err.toString().contains("the version in force, 0"), err.toString());
    assertEquals(Main.FAILED, run(file("empty.json", MAPPER.createObjectNode())));
    assertEquals(Main.FAILED, run(file("array.json", MAPPER.createArrayNode())));
    assertEquals(Main.FAILED, run(file("horses.json", MAPPER.readTree("{\"horses\": {}}"))));
    assertEquals(Main.FAILED, run("does-not-exist.json"));
    table.setOutage(true);
    assertEquals(Main.FAILED, run(file, "--against", "7", "--table", URL));
  }
}
