package org.cowslipyoke.daemon.runtime;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.MergePatch;
import org.cowslipyoke.config.PatchHistory;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.suspect.SuspectList.Snapshot;
import org.cowslipyoke.suspect.SuspectListCodec;

/**
 * The copy of the suspects list. The entry role also puts versions in force after it wrote them, so
 * changes are recorded when they are noticed.
 */
final class SuspectsReplica implements Replica {

  static final String NAME = "suspects";

  private final SuspectList list;
  private final PatchHistory history = new PatchHistory();
  private Snapshot recorded;

  SuspectsReplica(SuspectList list) {
    this.list = list;
    this.recorded = list.current();
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public long version() {
    return list.current().version();
  }

  @Override
  public synchronized Acceptance accept(Document document) {
    Snapshot now = record();
    if (document.version() <= now.version()) {
      return Acceptance.STALE;
    }
    boolean whole = document.fromVersion() == 0;
    if (!whole && document.fromVersion() != now.version()) {
      return Acceptance.NEEDS_WHOLE;
    }
    Either<Failure, Snapshot> next =
        ConfigurationDocument.readObject(document.json())
            .map(t -> whole ? t : MergePatch.apply(SuspectListCodec.toTree(now), t))
            .flatMap(SuspectListCodec::ofTree);
    if (next.isLeft() || next.get().version() != document.version()) {
      return whole ? Acceptance.REFUSED : Acceptance.NEEDS_WHOLE;
    }
    return offer(next.get());
  }

  @Override
  public synchronized Document since(long haveVersion) {
    Snapshot now = record();
    if (now.version() <= haveVersion) {
      return new Document(NAME, 0, 0, new byte[0]);
    }
    Optional<ObjectNode> patch =
        haveVersion == 0 ? Optional.empty() : history.between(haveVersion, now.version());
    byte[] json =
        ConfigurationDocument.toJsonBytes(patch.orElseGet(() -> SuspectListCodec.toTree(now)));
    return new Document(NAME, now.version(), patch.isPresent() ? haveVersion : 0, json);
  }

  @Override
  public Either<Failure, Acceptance> read(TransactionalTable table) {
    return table
        .read(SuspectListCodec.ROW)
        .flatMap(
            row ->
                row.isEmpty()
                    ? Either.right(Acceptance.STALE)
                    : SuspectListCodec.parse(row.get().version(), row.get().value())
                        .map(this::offer));
  }

  private synchronized Acceptance offer(Snapshot next) {
    boolean accepted = list.offer(next);
    record();
    return accepted ? Acceptance.ACCEPTED : Acceptance.STALE;
  }

  private Snapshot record() {
    Snapshot now = list.current();
    if (now.version() > recorded.version()) {
      ObjectNode patch =
          MergePatch.diff(SuspectListCodec.toTree(recorded), SuspectListCodec.toTree(now));
      history.add(recorded.version(), now.version(), patch);
      recorded = now;
    }
    return now;
  }
}
