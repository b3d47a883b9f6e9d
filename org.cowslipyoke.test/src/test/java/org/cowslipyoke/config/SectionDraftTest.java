package org.cowslipyoke.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.EnumMap;
import java.util.Map;
import org.approvaltests.Approvals;
import org.cowslipyoke.errors.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against accepted mistakes and against messages that don't name path, value and rule. */
class SectionDraftTest {

  @ParameterizedTest
  @ValueSource(strings = {"cooperativa", "tungysh"})
  void exampleDeploymentsAreValid(String deployment) {
    Map<Section, com.fasterxml.jackson.databind.node.ObjectNode> contents =
        new EnumMap<>(Section.class);
    Map<Section, Long> versions = new EnumMap<>(Section.class);
    for (Section s : Section.values()) {
      Either<Failure, SectionDraft> d = SectionDraft.parse(s, Deployments.section(deployment, s));
      assertTrue(d.isRight(), () -> s + ": " + d.getLeft().message());
      assertTrue(d.get().editors().orElseThrow().permits(s, Deployments.credential(deployment, s)));
      contents.put(s, d.get().content());
      versions.put(s, 1L);
    }
    ConfigurationDocument document = new ConfigurationDocument(4, versions, contents);
    assertEquals(java.util.List.of(), document.crossSectionErrors());
    Configuration c = document.toConfiguration().get();
    assertEquals(10, c.organisations().size());
    Configuration.Service service = c.places().services().values().iterator().next();
    assertTrue(service.isNotRepeatable("POST", "/bookings"));
  }

  @Test
  void messagesNamePathValueAndRule() {
    StringBuilder out = new StringBuilder();
    message(out, Section.LIMITS, "{\"costPerTtftMs\": -1, \"colour\": \"red\"}");
    message(
        out,
        Section.PLACES,
        """
        {"failureDomains": {"golega": "down"}, "groups": {"A B": {}},
         "stores": {"memoria": {"copies": 3, "linkBytesPerSecond": "fast"}},
         "services": {"marcacoes": {"prefix": "/marcacoes/", "group": "marcacoes",
           "notRepeatable": [{"method": "post", "path": "bookings"}]}}}
        """);
    message(
        out,
        Section.ORGANISATIONS,
        """
        {"editors": [], "organisations": {"monte-novo": {"keyHashes": ["secret"], "weight": 0,
         "requestsPerSecond": 1, "maxConcurrent": 1.5, "keptBlocks": 1, "extra": {}}}}
        """);
    message(out, Section.MODELS, "{\"models\": {\"a\": 1, \"a\": 2}}");
    message(out, Section.MODELS, "{\"models\": ");
    message(out, Section.MODELS, "[]");
    Approvals.verify(out);
  }

  private static void message(StringBuilder out, Section section, String json) {
    Failure f = SectionDraft.parse(section, json).getLeft();
    out.append(section.wireName()).append(": ").append(f.kind()).append('\n');
    out.append(f.message()).append("\n\n");
  }
}
