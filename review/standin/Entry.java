package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry, started as a process of its own with the command of the deploy file. */
final class Entry implements AutoCloseable {

  /** The first port that later entries of this process may use for their range. */
  private static int nextRange = 21_000 + (int) (ProcessHandle.current().pid() % 500) * 16;

  final Process process;
  final Path log;
  private final int front;
  private final int ready;

  /** Starts an entry; the working directory is the root of the repository. */
  Entry(Path folder, String name, String store) throws IOException {
    List<Integer> ports = freePorts(2);
    front = ports.get(0);
    ready = ports.get(1);
    Path settings = folder.resolve(name + ".conf");
    Files.writeString(settings, settings(name, store, freeRange()));
    log = folder.resolve(name + ".log");
    ProcessBuilder b = new ProcessBuilder(command());
    Map<String, String> env = b.environment();
    env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    env.put("COWSLIPYOKE_NODE_FILE", settings.toString());
    b.redirectErrorStream(true).redirectOutput(log.toFile());
    process = b.start();
    // Ends the entry also if this process is ended from outside.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Returns the words of {@code run} of the role entry in the deploy file. */
  private static List<String> command() throws IOException {
    boolean role = false;
    for (String l : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (l.startsWith("[")) {
        role = l.equals("[roles.entry]");
      } else if (role && l.startsWith("run")) {
        return List.of(l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no role entry");
  }

  private String settings(String name, String store, int range) {
    return String.join(
        "\n",
        "Node=" + name,
        "Role=entry",
        "MachineClass=edge",
        "Serves=edge",
        "Ip=127.0.0.1",
        "Zone=santarem",
        "Region=ribatejo",
        "Zones.santarem=ribatejo",
        "Listen.Front=127.0.0.1:" + front,
        "Listen.Ready=127.0.0.1:" + ready,
        "PortRange=" + range + "," + (range + 15),
        "Bootstrap=true",
        "Limits.CpuShare=0.57",
        "Limits.Cores=1",
        "Limits.MemoryMb=430",
        "Limits.MaxFds=4100",
        "Limits.LinkMbps=1000.0",
        "HeartbeatMs=1200",
        "Bounds.ContactMs=3000",
        "Bounds.DrainMs=2000",
        "Bounds.GraceS=8",
        "Bounds.LossSlackMs=200",
        "Bounds.ConfigApplyMs=2000",
        "Bounds.DowngradeSlackMs=250",
        "Bounds.MaxSkewMs=5000",
        "Bounds.StrictRevoke=true",
        "Bounds.RevokeMs=5000",
        "Bounds.RetryBudgetRatio=0.2",
        "Bounds.BudgetWindowS=10",
        "Bounds.BudgetSlack=56",
        "Bounds.RequireFence=false",
        "Bounds.LeaseMs=3000",
        "Bounds.ThawMs=300",
        "Bounds.VersionMs=15000",
        "Bounds.VersionAllMs=21000",
        "Platform.Address=" + store,
        "Platform.form=table",
        "Platform.WritesPerS=400",
        "Platform.ReadsPerS=2000",
        "Platform.TxMs=5.0",
        "");
  }

  private static List<Integer> freePorts(int n) throws IOException {
    List<ServerSocket> open = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      open.add(s);
      ports.add(s.getLocalPort());
    }
    for (ServerSocket s : open) {
      s.close();
    }
    return ports;
  }

  /** Returns the first of 16 successive ports that are free for TCP and UDP. */
  private static synchronized int freeRange() throws IOException {
    for (int first = nextRange; ; first += 16) {
      try {
        for (int p = first; p < first + 16; p++) {
          new ServerSocket(p, 1, InetAddress.getByName("127.0.0.1")).close();
          new DatagramSocket(p, InetAddress.getByName("127.0.0.1")).close();
        }
        nextRange = first + 16;
        return first;
      } catch (IOException e) {
        if (first > 32_000) {
          throw e;
        }
      }
    }
  }

  /** Waits until the entry reports that it is ready. */
  void awaitReady() throws Exception {
    long endMs = System.currentTimeMillis() + 20_000;
    while (System.currentTimeMillis() < endMs && process.isAlive()) {
      if (isReady()) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the entry is not ready, see " + log);
  }

  boolean isReady() {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", ready), 500);
      s.setSoTimeout(1_000);
      String call = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      s.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
      Http.Head h = Http.head(s.getInputStream());
      return h != null && h.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Opens a connection as a caller does. */
  Socket connect() throws IOException {
    Socket s = new Socket();
    s.setTcpNoDelay(true);
    s.connect(new InetSocketAddress("127.0.0.1", front), 1_000);
    return s;
  }

  /** Sends a signal by name, such as HUP. */
  void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(10, TimeUnit.SECONDS);
  }
}
