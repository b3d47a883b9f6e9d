package org.cowslipyoke.config.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.Deployments;
import org.cowslipyoke.config.Editors;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.util.Digests;
import org.junit.jupiter.api.Test;

/** Guards against rows above 256 KiB at the target size of 11,000 organisations. */
class LargeSectionTest {

  private static final int ORGANISATIONS = 11_000;
  private static final int MAX_ROW = 256 * 1024;

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final RaceTable counted = new RaceTable(table);

  @Test
  void largeSectionIsStoredInPartsAndReadWhole() {
    ObjectNode section = organisations(ORGANISATIONS);
    apply(section);
    assertTrue(counted.largestValue() <= MAX_ROW, "bytes " + counted.largestValue());
    assertStored(section);

    ((ObjectNode) section.path("organisations").path("o-77")).put("weight", 9);
    assertEquals(
        java.util.List.of("~ /organisations/o-77/weight: 1 -> 9"), apply(section).changes());
    assertStored(section);

    ObjectNode small = organisations(10);
    apply(small);
    assertStored(small);
    assertEquals(0, table.scan("config/organisations/part/", 100).get().size());
  }

  @Test
  void changeOfOneEntryWritesOnePart() {
    ObjectNode section = organisations(ORGANISATIONS);
    apply(section);
    long[] before = partVersions();
    ((ObjectNode) section.path("organisations").path("o-77")).put("weight", 9);
    apply(section);
    long[] after = partVersions();
    long written = 0;
    for (int i = 0; i < before.length; i++) {
      written += after[i] - before[i];
    }
    assertEquals(1, written);
  }

  private long[] partVersions() {
    return table.scan("config/organisations/part/", 100).get().stream()
        .mapToLong(r -> r.version())
        .toArray();
  }

  private void assertStored(ObjectNode section) {
    ConfigurationDocument d = ReadConfiguration.from(table).call().get();
    assertEquals(
        section.path("organisations"),
        d.content(Section.ORGANISATIONS).orElseThrow().path("organisations"));
  }

  private ApplySection.Applied apply(ObjectNode section) {
    String json = section.toString();
    return Deployments.apply(counted, clock, "cooperativa", Section.ORGANISATIONS, json)
        .call()
        .get();
  }

  private static ObjectNode organisations(int count) {
    ObjectNode section = JsonNodeFactory.instance.objectNode();
    String credential = Deployments.credential("cooperativa", Section.ORGANISATIONS);
    section.putArray("editors").add(Editors.hash(Section.ORGANISATIONS, credential));
    ObjectNode all = section.putObject("organisations");
    for (int i = 0; i < count; i++) {
      ObjectNode o = all.putObject("o-" + i);
      o.putArray("keyHashes").add(Digests.sha256Hex("k" + i)).add(Digests.sha256Hex("l" + i));
      o.put("weight", 1).put("requestsPerSecond", 50).put("maxConcurrent", 100);
      o.put("keptBlocks", 4000);
    }
    return section;
  }
}
