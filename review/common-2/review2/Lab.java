package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** A small deployment on loopback: stand-ins in this process, entries as processes of their own. */
public final class Lab implements AutoCloseable {
  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
  }

  /** Names of the failure domains. */
  static final List<String> ZONES = List.of("santarem", "golega", "almeirim");

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final ExecutorService threads = Executors.newCachedThreadPool(Lab::daemon);
  final Path tmp;
  private final long startNs = System.nanoTime();
  private final PrintWriter record;
  private final List<AutoCloseable> closing = new ArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();

  /** Creates a deployment; the first argument is the file that the record is written to. */
  Lab(String[] args) {
    try {
      record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])));
      tmp = Files.createTempDirectory("cowslipyoke-review");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    log("trouble=" + trouble);
  }

  /** A case; returns whether the rule was broken. */
  interface Case {
    boolean run(Lab lab) throws Exception;
  }

  /**
   * Runs a case and ends the process with 10 if the rule held, 11 if it was broken, and 12 if the
   * case could not run; a JVM that fails ends with 1.
   */
  static void run(String[] args, Case c) {
    int result = 2;
    try (Lab lab = new Lab(args)) {
      try {
        result = c.run(lab) ? 1 : 0;
      } catch (Exception | AssertionError e) {
        lab.log("the case could not run: " + e);
        e.printStackTrace();
      }
      lab.log("result " + result);
      System.out.println("result " + result);
    }
    System.exit(10 + result);
  }

  private static Thread daemon(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    return t;
  }

  long ms() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  synchronized void log(String line) {
    record.printf("%7d ms  %s%n", ms(), line);
    record.flush();
  }

  /** Ends the case as one that could not run, unless a condition holds. */
  static void require(boolean condition, String what) {
    if (!condition) {
      throw new IllegalStateException(what);
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns an unused request id. */
  String nextId() {
    return String.format("%016x", 0x9c41d07be0000000L + ids.incrementAndGet());
  }

  static int freePort() {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts an HTTP server on a loopback port. */
  HttpServer serve(int port, HttpHandler handler) {
    try {
      HttpServer s =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
      s.setExecutor(threads);
      s.createContext(
          "/",
          x -> {
            try {
              handler.handle(x);
            } catch (RuntimeException e) {
              log("stand-in failed: " + x.getRequestURI() + " " + e);
              e.printStackTrace();
            } finally {
              x.close();
            }
          });
      s.start();
      closing.add(() -> s.stop(0));
      return s;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static void answer(HttpExchange x, int status, String type, String body) throws IOException {
    byte[] b = body.getBytes(StandardCharsets.UTF_8);
    x.getResponseHeaders().set("Content-Type", type);
    x.sendResponseHeaders(status, b.length == 0 ? -1 : b.length);
    if (b.length > 0) {
      x.getResponseBody().write(b);
    }
  }

  static void json(HttpExchange x, int status, Object o) throws IOException {
    answer(x, status, "application/json", Json.write(o));
  }

  static Map<String, String> query(HttpExchange x) {
    Map<String, String> q = new HashMap<>();
    String raw = x.getRequestURI().getRawQuery();
    for (String p : raw == null ? new String[0] : raw.split("&")) {
      int eq = p.indexOf('=');
      q.put(
          p.substring(0, eq), URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
    }
    return q;
  }

  static long number(String s, long absent) {
    return s == null ? absent : Long.parseLong(s);
  }

  /** Starts an entry by the command of the deploy file. */
  EntryNode entry(String name, String zone, PlatformTable table) {
    try {
      int base = 20_000 + (int) (Math.random() * 400) * 20;
      Path settings = tmp.resolve(name + ".conf");
      EntryNode e =
          new EntryNode(name, settings, tmp.resolve(name + ".log"), freePort(), freePort());
      List<String> lines = new ArrayList<>();
      lines.add("Node=" + name);
      lines.add("Role=entry");
      lines.add("MachineClass=edge");
      lines.add("Serves=edge");
      lines.add("Ip=127.0.0.1");
      lines.add("Zone=" + zone);
      lines.add("Region=ribatejo");
      ZONES.forEach(z -> lines.add("Zones." + z + "=ribatejo"));
      lines.add("Listen.Front=127.0.0.1:" + e.front);
      lines.add("Listen.Ready=127.0.0.1:" + e.ready);
      lines.add("PortRange=" + base + "," + (base + 15));
      lines.add("Bootstrap=true");
      lines.add("Limits.CpuShare=0.57");
      lines.add("Limits.Cores=1");
      lines.add("Limits.MemoryMb=430");
      lines.add("Limits.MaxFds=4100");
      lines.add("Limits.LinkMbps=1000.0");
      lines.add("Discovery=platform");
      lines.add("Entry=virtual_ip");
      lines.add("HeartbeatMs=1200");
      lines.add(
          "Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,"
              + "platform");
      Map<String, String> bounds =
          Map.ofEntries(
              Map.entry("ContactMs", "3000"),
              Map.entry("AckMs", "4000"),
              Map.entry("DrainMs", "2000"),
              Map.entry("GraceS", "8"),
              Map.entry("LossSlackMs", "200"),
              Map.entry("ConfigApplyMs", "2000"),
              Map.entry("StrictRevoke", "true"),
              Map.entry("RevokeMs", "5000"),
              Map.entry("RetryBudgetRatio", "0.2"),
              Map.entry("BudgetWindowS", "10"),
              Map.entry("BudgetSlack", "56"),
              Map.entry("ColdOverage", "1.5"),
              Map.entry("ColdSlack", "5"),
              Map.entry("EvacuateMs", "5000"),
              Map.entry("RequireFence", "false"),
              Map.entry("LeaseMs", "3000"),
              Map.entry("ThawMs", "300"),
              Map.entry("VersionMs", "15000"),
              Map.entry("VersionAllMs", "21000"));
      bounds.forEach((k, v) -> lines.add("Bounds." + k + "=" + v));
      lines.add("Platform.Address=127.0.0.1:" + table.port);
      lines.add("Platform.form=table");
      lines.add("Platform.WritesPerS=400");
      lines.add("Platform.ReadsPerS=2000");
      lines.add("Platform.TxMs=5.0");
      lines.add("Platform.RowBytes=65536");
      lines.add("Platform.Across=false");
      lines.add("Platform.HistoryS=20");
      Files.write(settings, lines);
      e.start();
      closing.add(e::kill);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> e.process.destroyForcibly()));
      return e;
    } catch (IOException x) {
      throw new UncheckedIOException(x);
    }
  }

  @Override
  public void close() {
    for (int i = closing.size() - 1; i >= 0; i--) {
      try {
        closing.get(i).close();
      } catch (Exception e) {
        log("not closed: " + e);
      }
    }
    record.close();
    try (Stream<Path> files = Files.walk(tmp)) {
      if (System.getenv("KEEP") == null) {
        files.sorted((a, b) -> b.compareTo(a)).forEach(p -> p.toFile().delete());
      } else {
        System.out.println(tmp);
      }
    } catch (IOException e) {
      System.err.println("not deleted: " + tmp);
    }
  }

  /** An entry process. */
  final class EntryNode {
    final String name;
    final int front;
    final int ready;
    private final Path settings;
    private final Path log;
    Process process;

    EntryNode(String name, Path settings, Path log, int front, int ready) {
      this.name = name;
      this.settings = settings;
      this.log = log;
      this.front = front;
      this.ready = ready;
    }

    void start() throws IOException {
      String deploy = Files.readString(Path.of("deploy", "system.toml"));
      String run = deploy.lines().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
      ProcessBuilder b =
          new ProcessBuilder(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
      b.environment()
          .keySet()
          .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      b.environment().put("COWSLIPYOKE_NODE_FILE", settings.toString());
      b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = b.start();
      Lab.this.log("entry " + name + " started, pid " + process.pid());
    }

    void awaitReady() {
      long until = ms() + 30_000;
      while (ms() < until) {
        require(process.isAlive(), "entry ended");
        try {
          if (Call.of(ready, "GET", "/readyz", "x").send().status == 200) {
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        sleep(50);
      }
      throw new IllegalStateException("entry not ready");
    }

    /** Returns the log lines that contain a text. */
    List<String> lines(String text) {
      try (Stream<String> s = Files.lines(log)) {
        return s.filter(l -> l.contains(text)).toList();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    void kill() throws Exception {
      process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
  }
}
