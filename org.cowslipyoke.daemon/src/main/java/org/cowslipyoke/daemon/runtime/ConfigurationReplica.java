package org.cowslipyoke.daemon.runtime;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.config.MergePatch;
import org.cowslipyoke.config.PatchHistory;
import org.cowslipyoke.config.api.ReadConfiguration;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.platform.TransactionalTable;

/**
 * Replica of the configuration. Stores it as a document, in addition to the snapshot in the holder.
 */
final class ConfigurationReplica implements Replica {

  static final String NAME = "configuration";

  private static final Logger LOG = LogManager.getLogger(ConfigurationReplica.class);

  private final ConfigurationHolder holder;
  private final PatchHistory history = new PatchHistory();
  private ConfigurationDocument current = ConfigurationDocument.empty();

  ConfigurationReplica(ConfigurationHolder holder) {
    this.holder = holder;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public long version() {
    return holder.headVersion();
  }

  @Override
  public synchronized Acceptance accept(Document document) {
    if (document.version() <= current.headVersion()) {
      return Acceptance.STALE;
    }
    boolean complete = document.fromVersion() == 0;
    if (!complete && document.fromVersion() != current.headVersion()) {
      return Acceptance.NEEDS_COMPLETE;
    }
    Either<Failure, ConfigurationDocument> next =
        complete
            ? ConfigurationDocument.parse(document.json())
            : ConfigurationDocument.readObject(document.json())
                .map(p -> MergePatch.apply(current.toTree(), p))
                .flatMap(ConfigurationDocument::ofTree);
    if (next.isLeft() || next.get().headVersion() != document.version()) {
      return complete ? Acceptance.REFUSED : Acceptance.NEEDS_COMPLETE;
    }
    return accept(next.get());
  }

  private synchronized Acceptance accept(ConfigurationDocument next) {
    if (next.headVersion() <= current.headVersion()) {
      return Acceptance.STALE;
    }
    Either<Failure, Configuration> snapshot = next.toConfiguration();
    if (snapshot.isLeft() || !holder.offer(snapshot.get())) {
      String why =
          snapshot.isLeft()
              ? snapshot.getLeft().message()
              : "the version of a section would decrease";
      LOG.warn("configuration refused, version={} reason={}", next.headVersion(), why);
      return Acceptance.REFUSED;
    }
    if (current.headVersion() > 0) {
      ObjectNode patch = MergePatch.diff(current.toTree(), next.toTree());
      history.add(current.headVersion(), next.headVersion(), patch);
    }
    current = next;
    LOG.info("configuration activated, version={}", next.headVersion());
    return Acceptance.ACCEPTED;
  }

  @Override
  public Document changesSince(long haveVersion) {
    ConfigurationDocument now;
    synchronized (this) {
      now = current;
    }
    if (now.headVersion() <= haveVersion) {
      return new Document(NAME, 0, 0, new byte[0]);
    }
    Optional<ObjectNode> patch =
        haveVersion == 0 ? Optional.empty() : history.between(haveVersion, now.headVersion());
    return patch
        .map(ConfigurationDocument::toJsonBytes)
        .map(b -> new Document(NAME, now.headVersion(), haveVersion, b))
        .orElseGet(() -> new Document(NAME, now.headVersion(), 0, now.toBytes()));
  }

  @Override
  public Either<Failure, Acceptance> read(TransactionalTable table) {
    ReadConfiguration command = ReadConfiguration.from(table);
    return command
        .headVersion()
        .flatMap(
            v ->
                v <= version() ? Either.right(Acceptance.STALE) : command.call().map(this::accept));
  }
}
