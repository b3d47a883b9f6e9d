package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.relay.CallerMemory;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** The memory and the connections that the callers of one HTTP server may hold together. */
public final class CallerBudget {

  /** Interval at which slow callers are closed, in milliseconds. */
  private static final long SWEEP_MS = 200;

  /** Time within which the head of a request has to arrive, in milliseconds. */
  private static final long HEAD_MS = 15_000;

  /** Time that a caller may pause while it sends a body or reads a response, in milliseconds. */
  private static final long PAUSE_MS = 20_000;

  /** Connections that the kernel queues until they are accepted. */
  private static final int ACCEPT_QUEUE = 512;

  private static final String HOLDING = CallerBudget.class.getName() + ".holding";
  private static final Logger LOG = LogManager.getLogger(CallerBudget.class);

  private final Clock clock;
  private final CallerMemory memory;
  private final ConnectionBound connections;

  /** Creates the budget of a server. */
  public CallerBudget(Clock clock, CallerLimits limits, MeterRegistry meters) {
    this.clock = clock;
    this.memory = new CallerMemory(clock, limits.memoryBytes(), r -> count(meters, r.name()));
    this.connections =
        new ConnectionBound(clock, limits.connections(), memory, () -> count(meters, "WAITING"));
    meters.gauge("cowslipyoke_caller_memory_used", memory, CallerMemory::used);
    meters.gauge("cowslipyoke_caller_memory_size", memory, CallerMemory::size);
    meters.gauge("cowslipyoke_caller_connections", connections, ConnectionBound::open);
  }

  private static void count(MeterRegistry meters, String reason) {
    Counter.builder("cowslipyoke_callers_evicted")
        .tag("reason", reason)
        .register(meters)
        .increment();
  }

  /** Returns a connector within the budget. */
  public ServerConnector connector(Server server, HttpConfiguration config) {
    // The cache of 1,024 headers takes 77 KB of heap for each connection.
    config.setHeaderCacheSize(0);
    ServerConnector c =
        new CallerConnector(
            server, new ReadAheadConnectionFactory(config, memory, clock), connections);
    c.setAcceptQueueSize(ACCEPT_QUEUE);
    return c;
  }

  /** Returns a handler that opens the holding of each request and closes it after the response. */
  public Handler wrap(Handler handler) {
    return new Handler.Wrapper(handler) {
      @Override
      public boolean handle(Request request, Response response, Callback callback)
          throws Exception {
        request.setAttribute(HOLDING, open(request));
        return super.handle(request, response, callback);
      }
    };
  }

  /** Returns the holding of a request; one that is not limited if its server has no budget. */
  public static CallerMemory.Holding holding(Request request) {
    return request.getAttribute(HOLDING) instanceof CallerMemory.Holding h
        ? h
        : new CallerMemory(Clock.system(), Long.MAX_VALUE, r -> {}).open();
  }

  private CallerMemory.Holding open(Request request) {
    Connection c = request.getConnectionMetaData().getConnection();
    connections.requestBegun(c);
    CallerMemory.Holding h = c instanceof CallerConnection x ? x.takeHolding() : memory.open();
    h.unwatch();
    if (c.getEndPoint() instanceof ReadAheadEndPoint e) {
      e.requestBegun();
    }
    Request.addCompletionListener(
        request,
        failure -> {
          h.close();
          if (c.getEndPoint() instanceof ReadAheadEndPoint e) {
            e.requestEnded();
          }
          connections.requestEnded(c);
        });
    return h;
  }

  /** Starts closing incomplete heads and slow callers. */
  public void start(ScheduledExecutorService scheduler) {
    var unused =
        scheduler.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    try {
      connections.closeWaiting(
          c -> c.getEndPoint() instanceof ReadAheadEndPoint e && e.incompleteHeadMs() > HEAD_MS);
      memory.evictSlow(PAUSE_MS);
    } catch (RuntimeException e) {
      LOG.error("callers not checked", e);
    }
  }
}
