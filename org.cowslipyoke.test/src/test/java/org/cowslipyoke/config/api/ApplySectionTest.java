package org.cowslipyoke.config.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import org.cowslipyoke.config.AuditEntry;
import org.cowslipyoke.config.Deployments;
import org.cowslipyoke.config.Editors;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.api.ApplySection.Applied;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against lost changes, changes reported wrongly, and changes by the wrong team. */
class ApplySectionTest {

  private static final String DEPLOYMENT = "cooperativa";

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final RaceTable race = new RaceTable(table);

  @BeforeEach
  void seed() {
    Deployments.seed(table, clock, DEPLOYMENT);
  }

  @Test
  void acceptedChangeIsAudited() {
    Applied a = out("golega").reason("flood").call().get();
    assertEquals(2, a.sectionVersion());
    assertEquals(5, a.headVersion());
    AuditEntry e = ReadAudit.from(table).limit(1).call().get().get(0);
    assertEquals(a.changeId(), e.changeId());
    assertEquals(List.of("maria", "flood"), List.of(e.who(), e.reason()));
    assertEquals(List.of("~ /failureDomains/golega: \"in\" -> \"out\""), e.changes());
    assertEquals(List.of(1L, 2L, clock.wallMs()), List.of(e.from(), e.to(), e.whenMs()));
    assertEquals(5, ReadConfiguration.from(table).call().get().headVersion());
    assertEquals(2, ReadSectionHistory.of(table, Section.PLACES).call().get().size());
  }

  @Test
  void raceOnHeadAloneIsRetried() {
    race.before(() -> raise(7).call().get());
    Applied a = out("golega").call().get();
    assertEquals(6, a.headVersion());
    assertFalse(a.readBack());
    assertEquals(6, ReadAudit.from(table).call().get().size());
  }

  @Test
  void raceOnSectionNamesOtherChange() {
    race.before(() -> other("coruche").call().get());
    Failure f = out("golega").call().getLeft();
    assertEquals(ErrorKind.CONFLICT, f.kind());
    String id = ReadAudit.from(table).limit(1).call().get().get(0).changeId();
    assertTrue(f.message().contains(id) && f.message().contains("pedro"), f.message());
    assertTrue(f.message().contains("reason: roof"), f.message());
    assertEquals("in", state("golega"));
  }

  @Test
  void outdatedBaseVersionIsConflict() {
    other("coruche").call().get();
    assertEquals(ErrorKind.CONFLICT, out("golega").expectedVersion(1).call().getLeft().kind());
    String based = places("golega").replaceFirst("\\{", "{\"version\": 1,");
    assertEquals(ErrorKind.CONFLICT, apply(based).call().getLeft().kind());
  }

  @Test
  void lostAnswerOfAppliedChangeIsReadBack() {
    race.lost(() -> {});
    Applied a = out("golega").call().get();
    assertTrue(a.readBack());
    assertEquals(List.of(2L, 5L), List.of(a.sectionVersion(), a.headVersion()));
    assertEquals(5, ReadAudit.from(table).call().get().size());
  }

  @Test
  void lostAnswerIsReadBackAfterOverwrite() {
    race.lost(() -> other("coruche").expectedVersion(2).call().get());
    assertEquals(5, out("golega").call().get().headVersion());
  }

  @Test
  void lostTransactionIsRepeatedOnce() {
    race.dropped();
    assertEquals(5, out("golega").call().get().headVersion());
    assertEquals(5, ReadAudit.from(table).call().get().size());
  }

  @Test
  void lostTransactionThatLostRaceIsConflict() {
    race.dropped().before(() -> other("coruche").call().get());
    assertEquals(ErrorKind.CONFLICT, out("golega").call().getLeft().kind());
  }

  @Test
  void lostAnswerInOutageIsUnknownAndFoundByRepeat() {
    race.lost(() -> {});
    Either<Failure, Applied> first =
        out("golega")
            .repeatOf("change-1")
            .pause(
                ms -> {
                  table.setOutage(true);
                  clock.advance(ms);
                })
            .call();
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, first.getLeft().kind());
    assertTrue(first.getLeft().message().contains("change-1"));
    table.setOutage(false);
    Applied again = out("golega").repeatOf("change-1").call().get();
    assertTrue(again.readBack());
    assertEquals(5, again.headVersion());
    Failure reused = out("coruche").repeatOf("change-1").call().getLeft();
    assertEquals(ErrorKind.KEY_REUSED, reused.kind());
  }

  @Test
  void outageBeforeChangeIsReportedAsNotChanged() {
    table.setOutage(true);
    Failure f = out("golega").call().getLeft();
    assertEquals(ErrorKind.STORE_UNAVAILABLE, f.kind());
    table.setOutage(false);
    race.before(() -> table.setOutage(true));
    assertEquals(ErrorKind.STORE_UNAVAILABLE, out("golega").call().getLeft().kind());
    table.setOutage(false);
    assertEquals("in", state("golega"));
  }

  @Test
  void endlessRacesEndAtDeadline() {
    for (int i = 0; i < 100; i++) {
      int weight = i + 10;
      race.before(() -> raise(weight).call().get());
    }
    Failure f = out("golega").timeoutMs(2_000).call().getLeft();
    assertEquals(ErrorKind.STORE_UNAVAILABLE, f.kind());
    assertEquals("in", state("golega"));
  }

  @Test
  void credentialPermitsOwnSectionOnly() {
    String limits = Deployments.credential(DEPLOYMENT, Section.LIMITS);
    Failure f = out("golega").credential(limits).call().getLeft();
    assertEquals(ErrorKind.FORBIDDEN, f.kind());
    assertEquals(ErrorKind.UNAUTHENTICATED, out("golega").credential("").call().getLeft().kind());
    // Naming the own hash in the new text must not open the section.
    String own = Editors.hash(Section.PLACES, limits);
    String json = places("golega").replaceFirst("\"editors\": \\[", "$0\"" + own + "\",");
    assertTrue(json.contains(own));
    assertEquals(ErrorKind.FORBIDDEN, apply(json).credential(limits).call().getLeft().kind());
  }

  @Test
  void referenceToUnknownGroupIsRefusedInBothSections() {
    String models = Deployments.section(DEPLOYMENT, Section.MODELS);
    Failure f =
        Deployments.apply(
                race, clock, DEPLOYMENT, Section.MODELS, models.replace("\"group\": \"", "$0x-"))
            .call()
            .getLeft();
    assertEquals(ErrorKind.INVALID_REQUEST, f.kind());
    Failure g = apply(places("golega").replace("\"assistente\"", "\"outro\"")).call().getLeft();
    assertEquals(
        "/models/assistente/group: value \"assistente\" is not a group of section places;"
            + " allowed: outro, marcacoes",
        g.message());
  }

  @Test
  void unchangedSectionWritesNothing() {
    int commits = table.commits();
    Applied a = apply(Deployments.section(DEPLOYMENT, Section.PLACES)).call().get();
    assertEquals(List.of(), a.changes());
    assertEquals(commits, table.commits());
  }

  private ApplySection out(String domain) {
    return apply(places(domain));
  }

  private ApplySection other(String domain) {
    return Deployments.apply(table, clock, DEPLOYMENT, Section.PLACES, places(domain))
        .who("pedro")
        .reason("roof");
  }

  private ApplySection raise(int cost) {
    String json =
        Deployments.section(DEPLOYMENT, Section.LIMITS)
            .replace("\"costPerTtftMs\": 1.0", "\"costPerTtftMs\": " + cost);
    return Deployments.apply(table, clock, DEPLOYMENT, Section.LIMITS, json);
  }

  private ApplySection apply(String json) {
    return Deployments.apply(race, clock, DEPLOYMENT, Section.PLACES, json).pause(clock::advance);
  }

  private static String places(String out) {
    return Deployments.section(DEPLOYMENT, Section.PLACES)
        .replace("\"" + out + "\": \"in\"", "\"" + out + "\": \"out\"");
  }

  private String state(String domain) {
    return ReadConfiguration.from(table)
        .call()
        .get()
        .content(Section.PLACES)
        .orElseThrow()
        .path("failureDomains")
        .path(domain)
        .asText();
  }
}
