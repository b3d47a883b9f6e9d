package org.cowslipyoke.relay.profile;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.EngineProfile;
import org.cowslipyoke.relay.EngineProfiles;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.ServerNotice;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Learns the profiles of engines from the attempts of this entry and the digests of others: a model
 * per service, a lasting factor per server incarnation, and how slow a server is now. Uses no
 * threads and no I/O. Thread-safe.
 */
public final class LearnedEngineProfiles implements EngineProfiles, AttemptObserver {

  /** Interval in milliseconds at which the profiles in use are updated. */
  private static final long UPDATE_MS = 100;

  /** Interval in milliseconds at which models and lasting factors are combined. */
  private static final long COMBINE_MS = 500;

  /** Interval between updates from which this process was paused, in milliseconds. */
  private static final long PAUSE_MS = 300;

  /** Maximum number of services; those above keep the initial profile. */
  private static final int MAX_SERVICES = 64;

  /** Maximum number of incarnations, as in {@code ServerLoads}. */
  private static final int MAX_SERVERS = 8_192;

  /** One of so many gaps is learned from; a busy entry sees a thousand a second. */
  private static final int GAP_SAMPLING = 4;

  /**
   * Time in milliseconds within which bytes belong to the same content; below the shortest step of
   * a data sheet.
   */
  private static final long SAME_CONTENT_MS = 2;

  /**
   * Part of an expected time that may be due to waits for memory, or to loading, for the time to
   * still be learned from.
   */
  private static final double MAX_OTHER_PART = 0.25;

  /** Time to fetch a token from the slowest store of a data sheet, in milliseconds. */
  private static final double MAX_FETCH_MS_PER_TOKEN = 0.02;

  /** Is told of the first content of each successful response to a prompt. */
  @FunctionalInterface
  public interface FirstTokenListener {
    /** Handles a first content that took a time in milliseconds since the attempt began. */
    void onFirstToken(Attempt a, double tookMs);
  }

  /** Load of a server from all entries. */
  @FunctionalInterface
  public interface LoadSource {
    /** Returns the load of a server from all entries. */
    Load loadAt(BackendServer server);
  }

  /** One attempt in flight. */
  private static final class Run {
    private final ServerEvidence server;
    private final PromptPlan plan;
    private final StreamProgress progress;
    private final double otherMs;
    private final boolean learnable;
    private boolean succeeds;
    private int contents;

    Run(ServerEvidence server, PromptPlan plan, StreamProgress p, double otherMs, boolean learn) {
      this.server = server;
      this.plan = plan;
      this.progress = p;
      this.otherMs = otherMs;
      this.learnable = learn;
    }
  }

  private final Clock clock;
  private final LoadSource loads;
  private final String vm;
  private final long startedMs;
  private final PeerProfiles peers;
  private final DigestSchedule schedule;
  private volatile FirstTokenListener listener = (a, tookMs) -> {};
  private final Map<String, ServiceModel> models = new HashMap<>();
  private final Map<String, ServerEvidence> servers = new LinkedHashMap<>(16, 0.75f, true);
  private final IdentityHashMap<Attempt, Run> runs = new IdentityHashMap<>();
  private final ServerFactors factors = new ServerFactors();
  private final Map<String, EngineProfile> byIncarnation = new ConcurrentHashMap<>();
  private volatile Map<String, EngineProfile> byService = Map.of();
  private volatile long updatedMs;
  private long combinedMs;
  private long sequence;

  /**
   * Creates profiles that know nothing.
   *
   * @param vm name of this entry
   * @param loads load of the servers from all entries
   */
  public LearnedEngineProfiles(Clock clock, String vm, LoadSource loads) {
    this.clock = clock;
    this.vm = vm;
    this.loads = loads;
    this.startedMs = clock.wallMs();
    this.peers = new PeerProfiles(clock);
    this.schedule = new DigestSchedule(vm, clock.nowMs());
    this.updatedMs = clock.nowMs() - UPDATE_MS;
    this.combinedMs = clock.nowMs() - COMBINE_MS;
  }

  /** Sets the listener, which must not block. */
  public void setFirstTokenListener(FirstTokenListener l) {
    listener = l;
  }

  @Override
  public EngineProfile of(BackendServer server) {
    if (clock.nowMs() - updatedMs >= UPDATE_MS) {
      update();
    }
    EngineProfile p = byIncarnation.get(server.incarnation());
    return p != null ? p : register(server);
  }

  /** Adds a server, whose factors are known after the next update. */
  private synchronized EngineProfile register(BackendServer server) {
    server(server);
    combinedMs = clock.nowMs() - COMBINE_MS;
    return byService.getOrDefault(server.group(), EngineProfile.INITIAL);
  }

  @Override
  public void started(Attempt a) {
    PromptPlan plan = a.plan();
    if (plan == null) {
      return;
    }
    EngineProfile p = of(a.server());
    Load ahead = loadAhead(plan, p);
    double expectedMs =
        p.firstTokenMs(plan.work().prefillTokens(), ahead.prefillTokens(), ahead.inFlight());
    double otherMs = Math.max(0, plan.estimateMs() - expectedMs);
    double waitMs = otherMs - plan.fetchedTokens() * MAX_FETCH_MS_PER_TOKEN;
    boolean learn = a.ordinal() == 1 && waitMs <= MAX_OTHER_PART * plan.estimateMs();
    synchronized (this) {
      ServerEvidence server = server(a.server());
      StreamProgress progress =
          new StreamProgress(a.startMs(), expectedMs + otherMs, loads.loadAt(a.server()));
      server.add(progress);
      runs.put(a, new Run(server, plan, progress, otherMs, learn));
    }
  }

  @Override
  public synchronized void headReceived(Attempt a, ServerNotice notice) {
    Run r = runs.get(a);
    if (r != null) {
      r.succeeds = notice.status() / 100 == 2;
    }
  }

  @Override
  public void contentReceived(Attempt a, long nowMs, boolean first) {
    if (a.plan() == null) {
      return;
    }
    Load load = loads.loadAt(a.server());
    synchronized (this) {
      Run r = runs.get(a);
      ServiceModel model = r == null ? null : model(r.server.service());
      boolean same = r != null && !first && nowMs - r.progress.lastMs() <= SAME_CONTENT_MS;
      if (r == null || model == null || !r.succeeds || same) {
        return;
      }
      if (first) {
        learnFirst(r, model, nowMs - a.startMs());
      } else if (r.contents++ % GAP_SAMPLING == 0) {
        learnGap(r, model, nowMs, load);
      }
      r.progress.recordContent(nowMs, gapMs(r.server, model, load), load);
    }
    if (first) {
      listener.onFirstToken(a, (double) (nowMs - a.startMs()));
    }
  }

  @Override
  public synchronized void ended(Attempt a, Ended e) {
    Run r = runs.remove(a);
    if (r != null) {
      r.server.remove(r.progress);
    }
  }

  /** Applies a digest of another entry. */
  public synchronized void accept(ProfileDigest d) {
    if (!d.vm().equals(vm)) {
      boolean started = peers.accept(d);
      schedule.recordReceived(d.vm(), started, peers.names());
      if (started) {
        combinedMs = clock.nowMs() - COMBINE_MS;
      }
    }
  }

  /** Returns the digest to send now, if one is due; to be called each few tens of milliseconds. */
  public synchronized Optional<ProfileDigest> takeDigest() {
    long now = clock.nowMs();
    if (now - updatedMs >= UPDATE_MS) {
      update();
    }
    if (!schedule.takeDue(now, factors.hasNewlySlow())) {
      return Optional.empty();
    }
    sequence++;
    Map<String, LearnedModel> services = new HashMap<>();
    models.entrySet().stream()
        .filter(e -> e.getValue().own().firstCount() >= 1)
        .limit(ProfileDigest.MAX_SERVICES)
        .forEach(e -> services.put(e.getKey(), e.getValue().own()));
    return Optional.of(
        new ProfileDigest(
            vm, startedMs, sequence, Map.copyOf(services), factors.digests(servers.values())));
  }

  private void learnFirst(Run r, ServiceModel model, long tookMs) {
    double engineMs = tookMs - r.otherMs;
    if (!r.learnable || engineMs <= 0) {
      return;
    }
    PromptPlan plan = r.plan;
    long tokens = plan.work().prefillTokens();
    EngineProfile usual = model.profile();
    Load ahead = loadAhead(plan, usual);
    double usualMs = usual.firstTokenMs(tokens, ahead.prefillTokens(), ahead.inFlight());
    r.server.recordFirst(engineMs / usualMs);
    model.acceptFirst(engineMs / factors.lasting(r.server), tokens, ahead);
  }

  /** Returns the load that delayed a prompt: all running requests, but only tokens ahead of it. */
  private static Load loadAhead(PromptPlan plan, EngineProfile p) {
    Load load = plan.load();
    long tokens = p.prefillTokensAhead(load, plan.work().rank());
    return new Load(load.inFlight(), tokens, load.residentTokens());
  }

  /** Learns a gap; the load is taken as the greater one of those at its ends. */
  private void learnGap(Run r, ServiceModel model, long nowMs, Load load) {
    Load before = r.progress.lastLoad();
    Load greater = before.prefillTokens() > load.prefillTokens() ? before : load;
    double tookMs = (nowMs - r.progress.lastMs()) / factors.lasting(r.server);
    model.acceptGap(tookMs, greater);
  }

  private double gapMs(ServerEvidence s, ServiceModel model, Load load) {
    return model.gapMs(load) * factors.lasting(s);
  }

  private @Nullable ServiceModel model(String service) {
    ServiceModel m = models.get(service);
    if (m == null && models.size() < MAX_SERVICES) {
      m = new ServiceModel();
      models.put(service, m);
    }
    return m;
  }

  private ServerEvidence server(BackendServer s) {
    String incarnation = s.incarnation();
    ServerEvidence e = servers.get(incarnation);
    if (e == null) {
      e = new ServerEvidence(s);
      servers.put(incarnation, e);
      if (servers.size() > MAX_SERVERS) {
        String oldest = servers.keySet().iterator().next();
        servers.remove(oldest);
        byIncarnation.remove(oldest);
      }
    }
    return e;
  }

  private synchronized void update() {
    long now = clock.nowMs();
    if (now - updatedMs < UPDATE_MS) {
      return;
    }
    if (now - updatedMs > PAUSE_MS) {
      runs.values().forEach(r -> r.progress.excludePause(now));
    }
    updatedMs = now;
    boolean combineNow = now - combinedMs >= COMBINE_MS;
    if (combineNow) {
      combinedMs = now;
      combine();
    }
    boolean slownessChanged = factors.updateSlowness(now, servers.values(), this::currentGapMs);
    if (combineNow || slownessChanged) {
      for (ServerEvidence s : servers.values()) {
        EngineProfile p = byService.getOrDefault(s.service(), EngineProfile.INITIAL);
        byIncarnation.put(s.incarnation(), p.slower(factors.lasting(s), factors.slowness(s)));
      }
    }
  }

  private double currentGapMs(ServerEvidence s) {
    ServiceModel m = models.get(s.service());
    return m == null ? Double.NaN : gapMs(s, m, loads.loadAt(s.server()));
  }

  private void combine() {
    peers.services().forEach(this::model);
    Map<String, EngineProfile> next = new HashMap<>();
    models.forEach(
        (service, m) -> {
          m.combine(peers.models(service));
          next.put(service, m.profile());
        });
    byService = next;
    factors.combine(servers.values(), peers.servers());
  }
}
