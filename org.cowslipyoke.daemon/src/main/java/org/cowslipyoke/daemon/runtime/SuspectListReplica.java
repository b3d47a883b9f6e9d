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
 * Replica of the suspects list. The entry role activates the versions that it has written directly
 * in the list, so the change history is updated on the next access here.
 */
final class SuspectListReplica implements Replica {

  static final String NAME = "suspects";

  private final SuspectList list;
  private final PatchHistory history = new PatchHistory();
  private Snapshot lastRecorded;

  SuspectListReplica(SuspectList list) {
    this.list = list;
    this.lastRecorded = list.current();
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
    Snapshot now = recordChange();
    if (document.version() <= now.version()) {
      return Acceptance.STALE;
    }
    boolean complete = document.fromVersion() == 0;
    if (!complete && document.fromVersion() != now.version()) {
      return Acceptance.NEEDS_COMPLETE;
    }
    Either<Failure, Snapshot> next =
        ConfigurationDocument.readObject(document.json())
            .map(t -> complete ? t : MergePatch.apply(SuspectListCodec.toTree(now), t))
            .flatMap(SuspectListCodec::ofTree);
    if (next.isLeft() || next.get().version() != document.version()) {
      return complete ? Acceptance.REFUSED : Acceptance.NEEDS_COMPLETE;
    }
    return offer(next.get());
  }

  @Override
  public synchronized Document changesSince(long haveVersion) {
    Snapshot now = recordChange();
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
    recordChange();
    return accepted ? Acceptance.ACCEPTED : Acceptance.STALE;
  }

  private Snapshot recordChange() {
    Snapshot now = list.current();
    if (now.version() > lastRecorded.version()) {
      ObjectNode patch =
          MergePatch.diff(SuspectListCodec.toTree(lastRecorded), SuspectListCodec.toTree(now));
      history.add(lastRecorded.version(), now.version(), patch);
      lastRecorded = now;
    }
    return now;
  }
}
