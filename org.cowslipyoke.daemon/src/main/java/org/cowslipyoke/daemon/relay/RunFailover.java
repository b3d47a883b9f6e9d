package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.daemon.relay.RelayExtensions.Failover;
import org.cowslipyoke.failover.BackupPlanner;
import org.cowslipyoke.failover.CopyLedger;
import org.cowslipyoke.failover.RunCopy;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.CacheTransfers;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.Prompt;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.PromptWork;
import org.cowslipyoke.relay.RelayRequest;
import org.cowslipyoke.relay.Route;
import org.cowslipyoke.relay.ServerGroup;
import org.jspecify.annotations.Nullable;

/** The copy of the current run of one request, and its use. */
final class RunFailover {

  private static final Logger LOG = LogManager.getLogger(RunFailover.class);

  /**
   * The copy of a run.
   *
   * @param plan placement of the run that is copied
   */
  private record Backup(BackendServer server, PromptPlan plan, CopyLedger.Entry memory) {}

  private final RelayContext services;
  private final @Nullable Failover decisions;
  private final RelayRequest request;
  private final Route route;
  private final String service;
  private @Nullable Backup backup;
  private boolean continued;

  RunFailover(RelayContext services, RelayRequest request, Route route, String service) {
    this.services = services;
    this.decisions = services.extensions().failover();
    this.request = request;
    this.route = route;
    this.service = service;
  }

  /** Chooses the server that a new run is copied to; returns null if it is not copied. */
  synchronized @Nullable RunCopy begin(@Nullable PromptPlan plan, @Nullable ServerGroup group) {
    release(true);
    Prompt prompt = request.prompt();
    if (decisions == null || plan == null || prompt == null || group == null) {
      return null;
    }
    BackupPlanner.Choice c =
        decisions.planner().choose(route, prompt, plan, services.state().get(), group);
    if (c.decision() == BackupPlanner.Decision.NOT_OFFERED) {
      return null;
    }
    services.metrics().backup(service, c.decision().name().toLowerCase(Locale.ROOT));
    BackendServer target = c.server().orElse(null);
    if (target == null) {
      return null;
    }
    backup = new Backup(target, plan, decisions.planner().record(target, c));
    return new RunCopy(target, false);
  }

  /**
   * Returns whether the server with the copy may get the run now.
   *
   * @param allowed whether the filters of candidates leave a server
   */
  synchronized boolean isReady(Predicate<BackendServer> allowed) {
    Backup b = backup;
    Prompt prompt = request.prompt();
    if (b == null || decisions == null || continued || prompt == null) {
      return false;
    }
    FleetState state = services.state().get();
    List<BackendServer> servers = state.available(service);
    return servers.stream().anyMatch(s -> isSame(s, b.server()) && s.coldMs() <= 0)
        && services.loads().weights(b.server(), prompt.model()) == b.plan().weights()
        && !decisions.liveness().isLost(b.server())
        && allowed.test(b.server());
  }

  private static boolean isSame(BackendServer a, BackendServer b) {
    return a.incarnation().equals(b.incarnation()) && a.address().equals(b.address());
  }

  /** Returns whether a server is taken for lost. */
  boolean isLost(BackendServer server) {
    return decisions != null && decisions.liveness().isLost(server);
  }

  /** Returns the attempt that goes on from the copy. */
  synchronized RelayAttempt continuation(RelayExchange exchange, RelayAttempt last) {
    Backup b = backup;
    if (b == null) {
      throw new IllegalStateException("no copy of the run of request " + request.id());
    }
    continued = true;
    services.metrics().continuation(service, "started");
    LOG.info(
        "run goes on: request={} from={} to={} lastEvent={} elapsedMs={} received={}",
        request.id(),
        last.server().id(),
        b.server().id(),
        exchange.run().lastEventId(),
        exchange.elapsedMs(),
        last.progress());
    PromptPlan p = b.plan();
    // Sources and targets of the prompt's parts are omitted, since the copy holds the parts.
    PromptPlan plan =
        new PromptPlan(
            b.server(),
            p.weights(),
            p.salt(),
            new PromptWork(0, p.work().unsharedTokens(), p.work().shared()),
            p.estimateMs(),
            p.heldTokens(),
            0,
            p.load(),
            CacheTransfers.none(p.transfers().parts()));
    return new RelayAttempt(exchange, b.server(), plan, new RunCopy(b.server(), true));
  }

  /** Records the end of the request; only the first call counts. */
  synchronized void ended(boolean answered) {
    if (continued) {
      continued = false;
      services.metrics().continuation(service, answered ? "completed" : "failed");
    }
    release(answered);
  }

  private void release(boolean freed) {
    if (backup != null) {
      backup.memory().close(freed);
      backup = null;
    }
  }
}
