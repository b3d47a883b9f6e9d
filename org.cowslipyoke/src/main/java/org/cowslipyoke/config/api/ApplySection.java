package org.cowslipyoke.config.api;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import org.cowslipyoke.config.AuditEntry;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.Editors;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.SectionDiff;
import org.cowslipyoke.config.SectionDraft;
import org.cowslipyoke.config.internal.ChangeWriter;
import org.cowslipyoke.config.internal.ConfigurationStore;
import org.cowslipyoke.config.internal.ConfigurationStore.State;
import org.cowslipyoke.config.internal.ConfigurationStore.Stored;
import org.cowslipyoke.config.internal.Rows.SectionRow;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.TransactionalTable.CommitStatus;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Digests;
import org.jspecify.annotations.Nullable;

/**
 * Replaces one section by compare-and-set on its version, in one transaction with the head row and
 * the audit row.
 *
 * <p>The result is truthful even if answers of the table are lost: the command reads back by the
 * change id, and says {@code OUTCOME_UNKNOWN} if it can't. Repeating a transaction is safe because
 * its condition on the section's version holds at most once.
 */
public final class ApplySection {

  /** Time for retries and for reading back a lost answer, in milliseconds. */
  public static final long DEFAULT_TIMEOUT_MS = 10_000;

  /** Characters of a name or reason, which bounds the rows. */
  public static final int MAX_TEXT = 1_000;

  /** Pause between attempts in milliseconds. */
  private static final long PAUSE_MS = 200;

  /** Changes before the present one among which a repeated command looks for its change id. */
  private static final int LOOK_BACK = 100;

  private final TransactionalTable table;
  private final Clock clock;
  private final Section section;
  private final ConfigurationStore store;
  private String json = "";
  private String credential = "";
  private String who = "";
  private String reason = "";
  private @Nullable Long expectedVersion;
  private String changeId = UUID.randomUUID().toString();
  private long timeoutMs = DEFAULT_TIMEOUT_MS;
  private LongConsumer pause = ms -> LockSupport.parkNanos(ms * 1_000_000);

  private boolean mayBeApplied;
  private long firstHead = -1;

  private ApplySection(TransactionalTable table, Clock clock, Section section) {
    this.table = table;
    this.clock = clock;
    this.section = section;
    this.store = new ConfigurationStore(table);
  }

  /**
   * An accepted change.
   *
   * @param sectionVersion version of the section after the change
   * @param headVersion version of the document after the change
   * @param readBack whether the answer of the table was lost and the change was found by its id
   * @param changes changed values; empty if the section already was as stated
   */
  public record Applied(
      Section section,
      long sectionVersion,
      long headVersion,
      String changeId,
      boolean readBack,
      List<String> changes) {}

  /** Returns the command for a section. */
  public static ApplySection of(TransactionalTable table, Clock clock, Section section) {
    return new ApplySection(table, clock, section);
  }

  /** Sets the new section as JSON text. */
  public ApplySection json(String text) {
    this.json = text;
    return this;
  }

  /** Sets the credential of the team that edits the section. */
  public ApplySection credential(String text) {
    this.credential = text;
    return this;
  }

  /** Sets the name of the editor for the audit row. */
  public ApplySection who(String name) {
    this.who = name;
    return this;
  }

  /** Sets the reason for the audit row. */
  public ApplySection reason(String text) {
    this.reason = text;
    return this;
  }

  /**
   * Sets the version of the section that the edit started from; it takes precedence over the key
   * {@code version} of the text. Without both, the version at the start of the call is expected.
   */
  public ApplySection expectedVersion(long version) {
    this.expectedVersion = version;
    return this;
  }

  /** Repeats an earlier command whose result was not known. */
  public ApplySection repeatOf(String id) {
    this.changeId = id;
    this.mayBeApplied = true;
    return this;
  }

  /** Sets the time for retries in milliseconds. */
  public ApplySection timeoutMs(long ms) {
    this.timeoutMs = ms;
    return this;
  }

  /** Sets how the command waits between attempts; the argument is milliseconds. */
  public ApplySection pause(LongConsumer wait) {
    this.pause = wait;
    return this;
  }

  /**
   * Runs the command.
   *
   * @return the change, or a failure: {@code INVALID_REQUEST}, {@code TOO_LARGE}, {@code
   *     UNAUTHENTICATED}, {@code FORBIDDEN}, {@code CONFLICT} with the other change in its message,
   *     {@code STORE_UNAVAILABLE} if nothing was changed, {@code OUTCOME_UNKNOWN} if that is not
   *     known
   */
  public Either<Failure, Applied> call() {
    if (credential.isEmpty()) {
      return fail(ErrorKind.UNAUTHENTICATED, "a credential is required");
    }
    if (who.isEmpty() || reason.isEmpty() || who.length() + reason.length() > MAX_TEXT) {
      String m = "a name and a reason are required, together at most " + MAX_TEXT + " characters";
      return fail(ErrorKind.INVALID_REQUEST, m);
    }
    Either<Failure, SectionDraft> draft = SectionDraft.parse(section, json);
    if (draft.isLeft()) {
      return Either.left(draft.getLeft());
    }
    if (expectedVersion == null) {
      expectedVersion = draft.get().baseVersion().orElse(null);
    }
    long deadline = clock.nowMs() + timeoutMs;
    while (true) {
      Optional<Either<Failure, Applied>> result = attempt(draft.get());
      if (result.isPresent()) {
        return result.get();
      }
      if (clock.nowMs() >= deadline) {
        String m = "other changes or the table prevented the change for " + timeoutMs + " ms";
        return unavailable(m);
      }
      pause.accept(PAUSE_MS);
    }
  }

  /** Returns the result of an attempt; empty if it is to be repeated. */
  private Optional<Either<Failure, Applied>> attempt(SectionDraft draft) {
    Either<Failure, State> read = store.state();
    if (read.isLeft()) {
      return mayBeApplied && read.getLeft().kind() == ErrorKind.STORE_UNAVAILABLE
          ? Optional.empty()
          : Optional.of(unavailable(read.getLeft().message()));
    }
    State state = read.get();
    if (firstHead < 0) {
      firstHead = mayBeApplied ? state.head().version() - LOOK_BACK : state.head().version();
    }
    String digest = Digests.sha256Hex(draft.content().toString());
    if (mayBeApplied) {
      Either<Failure, Optional<Applied>> own = findOwn(state, digest);
      if (own.isLeft()) {
        boolean outage = own.getLeft().kind() == ErrorKind.STORE_UNAVAILABLE;
        return outage ? Optional.empty() : Optional.of(Either.left(own.getLeft()));
      }
      if (own.get().isPresent()) {
        return Optional.of(Either.right(own.get().get()));
      }
    }
    Optional<Failure> refused = refusal(draft, state);
    return refused.isPresent()
        ? Optional.of(Either.left(refused.get()))
        : commit(draft, state, digest);
  }

  /** Looks for the change of this command among the changes since the first read. */
  private Either<Failure, Optional<Applied>> findOwn(State state, String digest) {
    return store
        .audit(Math.max(1, firstHead + 1), state.head().version())
        .flatMap(
            changes -> {
              for (AuditEntry e : changes) {
                if (e.changeId().equals(changeId)) {
                  return e.digest().equals(digest) && e.section().equals(section.wireName())
                      ? Either.right(Optional.of(applied(e.to(), e.headVersion(), e.changes())))
                      : Either.left(
                          Failure.of(
                              ErrorKind.KEY_REUSED,
                              "change id " + changeId + " belongs to a change of other content"));
                }
              }
              return Either.right(Optional.empty());
            });
  }

  private Applied applied(long sectionVersion, long headVersion, List<String> changes) {
    return new Applied(section, sectionVersion, headVersion, changeId, true, changes);
  }

  /** Returns why the change must not be made on this state. */
  private Optional<Failure> refusal(SectionDraft draft, State state) {
    Optional<Stored> stored = state.section(section);
    Optional<Editors> editors = stored.map(s -> new Editors(s.row().editors())).or(draft::editors);
    if (editors.isEmpty()) {
      String m = "/editors: key is missing; allowed: a new section names its editors";
      return Optional.of(Failure.of(ErrorKind.INVALID_REQUEST, m));
    }
    if (!editors.get().permits(section, credential)) {
      String m = "the credential does not permit changes of section " + section.wireName();
      return Optional.of(Failure.of(ErrorKind.FORBIDDEN, m));
    }
    long version = stored.map(s -> s.row().version()).orElse(0L);
    if (expectedVersion == null) {
      expectedVersion = version;
    }
    if (expectedVersion != version) {
      return Optional.of(conflict(stored.map(Stored::row), version));
    }
    ConfigurationDocument next =
        state.document().with(section, version + 1, state.head().version() + 1, draft.content());
    List<String> errors = next.crossSectionErrors();
    return errors.isEmpty()
        ? Optional.empty()
        : Optional.of(Failure.of(ErrorKind.INVALID_REQUEST, String.join("\n", errors)));
  }

  private Failure conflict(Optional<SectionRow> other, long version) {
    String expected =
        "section " + section.wireName() + " has version " + version + ", not " + expectedVersion;
    String by =
        other
            .map(
                o ->
                    "; the other change is "
                        + o.changeId()
                        + " of "
                        + o.who()
                        + " at "
                        + java.time.Instant.ofEpochMilli(o.whenMs())
                        + ", reason: "
                        + o.reason())
            .orElse("; the section does not exist");
    return Failure.of(ErrorKind.CONFLICT, expected + by);
  }

  private Optional<Either<Failure, Applied>> commit(
      SectionDraft draft, State state, String digest) {
    Optional<Stored> stored = state.section(section);
    List<String> changes =
        SectionDiff.between(
                stored.map(Stored::content).orElseGet(() -> draft.content().objectNode()),
                draft.content())
            .lines();
    if (stored.isPresent() && changes.isEmpty() && keepsEditors(draft, stored.get())) {
      long version = stored.get().row().version();
      return Optional.of(
          Either.right(
              new Applied(section, version, state.head().version(), changeId, false, List.of())));
    }
    ChangeWriter writer =
        new ChangeWriter(section, state, draft, digest, changes, changeId, who, reason);
    Either<Failure, List<TransactionalTable.Write>> writes =
        writer.writes(Editors.hash(section, credential), clock.wallMs());
    if (writes.isLeft()) {
      return Optional.of(Either.left(writes.getLeft()));
    }
    CommitStatus status = table.commit(writes.get()).status();
    return switch (status) {
      case COMMITTED ->
          Optional.of(
              Either.right(
                  new Applied(
                      section,
                      Objects.requireNonNull(expectedVersion) + 1,
                      state.head().version() + 1,
                      changeId,
                      false,
                      changes)));
      case CONFLICT -> Optional.empty();
      case NOT_APPLIED ->
          mayBeApplied
              ? Optional.empty()
              : Optional.of(unavailable("the table did not apply the change"));
      case UNKNOWN -> {
        mayBeApplied = true;
        yield Optional.empty();
      }
    };
  }

  private static boolean keepsEditors(SectionDraft draft, Stored stored) {
    return draft.editors().map(e -> e.hashes().equals(stored.row().editors())).orElse(true);
  }

  private Either<Failure, Applied> unavailable(String message) {
    return mayBeApplied
        ? fail(
            ErrorKind.OUTCOME_UNKNOWN,
            message + "; change " + changeId + " may be applied, repeat the command with this id")
        : fail(ErrorKind.STORE_UNAVAILABLE, message + "; nothing was changed");
  }

  private static Either<Failure, Applied> fail(ErrorKind kind, String message) {
    return Either.left(Failure.of(kind, message));
  }
}
