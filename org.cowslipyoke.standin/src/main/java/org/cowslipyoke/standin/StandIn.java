package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A running stand-in of one platform service. */
public final class StandIn implements AutoCloseable {

  private static final String HOST = "127.0.0.1";

  /** Requests executed at once; a stream of a generation occupies one thread. */
  private static final int MAX_THREADS = 400;

  private static final long JOIN_MS = 10_000;

  private final Server server;
  private final ServerConnector main;
  private final ServerConnector admin;
  private final Faults faults;
  private final Service service;
  private final Runnable halt;
  private final ScheduledExecutorService background = daemonThread();
  private final AtomicLong requests = new AtomicLong();
  private final int port;
  private final long linkBytesPerSecond;

  private StandIn(StandInKind kind, JsonNode given, Runnable halt) throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
    threads.setDaemon(true);
    this.server = new Server(threads);
    // A thread that is blocked in accept keeps a closed port open until it is scheduled again, and
    // may still take a connection that is then never answered. The selector accepts instead.
    this.main = new ServerConnector(server, 0, 1);
    this.admin = new ServerConnector(server, 0, 1);
    this.faults = new Faults(this::openConnections);
    this.halt = halt;
    Options settings = kind.settings().with(given);
    this.linkBytesPerSecond = kind == StandInKind.STORE ? settings.number("linkBytesPerSecond") : 0;
    this.service = kind.create(settings, faults, this::refuseFor);
    for (ServerConnector c : List.of(main, admin)) {
      c.setHost(HOST);
      c.setIdleTimeout(120_000);
      server.addConnector(c);
    }
    server.setHandler(new Front());
    server.setStopTimeout(0);
    server.start();
    this.port = main.getLocalPort();
    main.setPort(port);
  }

  /**
   * Starts a stand-in with default settings.
   *
   * @throws IllegalStateException if it does not start
   */
  public static StandIn start(StandInKind kind) {
    return start(kind, "{}");
  }

  /**
   * Starts a stand-in.
   *
   * @param settings JSON object whose values replace the defaults
   * @throws IllegalArgumentException if a setting is not known
   * @throws IllegalStateException if it does not start
   */
  public static StandIn start(StandInKind kind, String settings) {
    return start(kind, Options.object(settings), () -> {});
  }

  static StandIn start(StandInKind kind, JsonNode settings, Runnable halt) {
    try {
      return new StandIn(kind, settings, halt);
    } catch (IllegalArgumentException e) {
      throw e;
    } catch (Exception e) {
      throw new IllegalStateException("stand-in " + kind + " does not start", e);
    }
  }

  /** Returns the port of the service. */
  public int port() {
    return port;
  }

  /** Returns the port that serves {@code /admin} even while the service refuses connections. */
  public int adminPort() {
    return admin.getLocalPort();
  }

  /** Returns the base address of the service. */
  public URI baseUri() {
    return URI.create("http://" + HOST + ":" + port);
  }

  /**
   * Sets fault switches; returns after a change of the listening port took effect.
   *
   * @param json switches as in {@code POST /admin/faults}
   */
  public void setFaults(String json) {
    join(applyFaults(Options.object(json)));
  }

  /** Returns the counts as in {@code GET /admin/stats}. */
  public ObjectNode stats() {
    ObjectNode out = Options.JSON.createObjectNode();
    out.put("requests", requests.get());
    service.stats(out);
    return out;
  }

  @Override
  public void close() {
    background.shutdownNow();
    service.close();
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("stand-in does not stop", e);
    }
  }

  /** Returns the completion of a change of the listening port. */
  private Future<?> applyFaults(JsonNode given) {
    faults.set(given);
    service.faultsChanged(given);
    String outage = faults.text("outage");
    if (given.path("crash").asBoolean()) {
      return background.submit(this::crash);
    }
    if (!given.has("outage")) {
      return CompletableFuture.completedFuture(null);
    }
    int ms = faults.count("outageMs");
    if (ms > 0 && !outage.equals("none")) {
      schedule(
          () -> {
            var unused = applyFaults(Options.object("{\"outage\": \"none\"}"));
          },
          ms);
    }
    return background.submit(() -> listen(!outage.equals("refuse")));
  }

  private static void join(Future<?> change) {
    try {
      change.get(JOIN_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("fault switch has no effect", e);
    }
  }

  private void crash() {
    halt.run();
    listen(false);
    service.close();
  }

  private void refuseFor(long ms) {
    background.execute(() -> listen(false));
    schedule(() -> listen(!faults.text("outage").equals("refuse")), ms);
  }

  private void schedule(Runnable r, long ms) {
    var unused = background.schedule(r, ms, TimeUnit.MILLISECONDS);
  }

  private void listen(boolean on) {
    try {
      if (on && !main.isRunning()) {
        main.start();
      } else if (!on && main.isRunning()) {
        Collection<EndPoint> connected = new ArrayList<>(main.getConnectedEndPoints());
        main.stop();
        connected.forEach(EndPoint::close);
      }
    } catch (Exception e) {
      throw new IllegalStateException("connector does not change state", e);
    }
  }

  private Collection<EndPoint> openConnections() {
    return main.getConnectedEndPoints();
  }

  private static ScheduledExecutorService daemonThread() {
    return Executors.newSingleThreadScheduledExecutor(
        r -> {
          Thread t = new Thread(r, "faults");
          t.setDaemon(true);
          return t;
        });
  }

  /** Applies the switches before the service gets a request. */
  private final class Front extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      Exchange x = new Exchange(request, response, callback, faults, linkBytesPerSecond);
      try {
        if (x.path().startsWith("/admin")) {
          handleAdmin(request, x);
        } else if (x.isSilent()) {
          return true;
        } else if (!faults.text("outage").equals("none")) {
          x.reset();
        } else {
          requests.incrementAndGet();
          if (faults.applies(x.path())) {
            Thread.sleep(faults.count("delayMs"));
          }
          service.handle(x);
        }
      } catch (IllegalArgumentException e) {
        x.error(400, "invalid_request", String.valueOf(e.getMessage()));
      } catch (IOException e) {
        x.fail(e);
      }
      return true;
    }

    private void handleAdmin(Request request, Exchange x) throws IOException, InterruptedException {
      switch (x.route()) {
        case "GET /admin/stats" -> x.reply(stats());
        case "GET /admin/faults" -> x.reply(faults.toJson());
        case "POST /admin/faults" -> {
          set(request, x.json());
          x.reply(faults.toJson());
        }
        case "DELETE /admin/faults" -> {
          faults.reset();
          set(request, faults.toJson());
          x.reply(faults.toJson());
        }
        default -> {
          if (!service.admin(x)) {
            x.error(404, "not_found", x.route());
          }
        }
      }
    }

    /** The connection of a request on the main port may be closed by the change itself. */
    private void set(Request request, JsonNode given) {
      Future<?> change = applyFaults(given);
      if (request.getConnectionMetaData().getConnector() == admin) {
        join(change);
      }
    }
  }
}
