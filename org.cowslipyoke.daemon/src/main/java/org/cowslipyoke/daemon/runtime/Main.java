package org.cowslipyoke.daemon.runtime;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.daemon.runtime.DaemonRuntime.Ports;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.util.Clock;

/** Entry point of the program {@code cowslipyoked}. */
public final class Main {

  /** Exit code for success. */
  public static final int EXIT_OK = 0;

  /** Exit code if the settings are invalid or the process cannot listen. */
  public static final int EXIT_FAILURE = 1;

  /** Exit code for an invalid command line. */
  public static final int EXIT_USAGE = 2;

  /** Returned by {@link #run} if the daemon has started; not an exit code. */
  static final int STARTED = -1;

  private static final Options OPTIONS =
      new Options()
          .addOption(option(DaemonText.OPTION_SETTINGS, DaemonText.HELP_SETTINGS).hasArg().get())
          .addOption(option(DaemonText.OPTION_HELP, DaemonText.HELP_HELP).get())
          .addOption(option(DaemonText.OPTION_VERSION, DaemonText.HELP_VERSION).get());

  private static final Logger LOG = LogManager.getLogger(Main.class);

  private Main() {}

  /** Runs the daemon until SIGTERM; SIGHUP has no effect. */
  public static void main(String[] args) throws InterruptedException {
    HangupSignal.handle(() -> LOG.info("hangup ignored: settings apply at the next start"));
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    int code = run(args, out, err, RoleFactory::create);
    if (code == STARTED) {
      new CountDownLatch(1).await();
    }
    System.exit(code);
  }

  /**
   * Starts the daemon or handles an informational option.
   *
   * @return {@link #STARTED} or the exit code
   */
  static int run(
      String[] args, PrintWriter out, PrintWriter err, Function<DaemonContext, Role> roles) {
    CommandLine line;
    try {
      line = new DefaultParser().parse(OPTIONS, args);
    } catch (ParseException e) {
      err.println(e.getMessage());
      err.println(DaemonText.USAGE);
      return EXIT_USAGE;
    }
    if (line.hasOption(DaemonText.OPTION_HELP)) {
      help(out);
      return EXIT_OK;
    }
    if (line.hasOption(DaemonText.OPTION_VERSION)) {
      out.println(DaemonText.PROGRAM + " " + version());
      return EXIT_OK;
    }
    if (!line.hasOption(DaemonText.OPTION_SETTINGS) || !line.getArgList().isEmpty()) {
      err.println(DaemonText.USAGE);
      return EXIT_USAGE;
    }
    Path file = Path.of(line.getOptionValue(DaemonText.OPTION_SETTINGS));
    Either<Failure, Ports> started = SettingsFile.read(file).flatMap(s -> start(s, out, roles));
    started.peekLeft(f -> err.println(f.message()));
    return started.isRight() ? STARTED : EXIT_FAILURE;
  }

  private static Either<Failure, Ports> start(
      Settings settings, PrintWriter out, Function<DaemonContext, Role> roles) {
    DaemonRuntime runtime =
        new DaemonRuntime(settings, Clock.system(), PlatformClients.of(settings), roles);
    Either<Failure, Ports> ports = runtime.start();
    ports.peek(
        p -> {
          Thread hook = new Thread(() -> stop(runtime), "shutdown");
          Runtime.getRuntime().addShutdownHook(hook);
          out.println(readyLine(settings.vm(), p));
        });
    return ports;
  }

  /**
   * Shuts down and ends the process with exit code 0. Without the halt, the JVM would exit with the
   * code of the signal.
   */
  private static void stop(DaemonRuntime runtime) {
    runtime.shutDown();
    LogManager.shutdown();
    Runtime.getRuntime().halt(EXIT_OK);
  }

  private static String readyLine(String vm, Ports ports) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("event", "ready")
        .put("vm", vm)
        .put("httpPort", ports.httpPort())
        .put("framePort", ports.framePort())
        .toString();
  }

  private static void help(PrintWriter out) {
    out.println("usage: " + DaemonText.USAGE);
    for (Option o : OPTIONS.getOptions()) {
      String name = "--" + o.getLongOpt() + (o.hasArg() ? " FILE" : "");
      out.printf("  %-18s %s%n", name, o.getDescription());
    }
  }

  private static String version() {
    String v = Main.class.getPackage().getImplementationVersion();
    return v == null ? "0.1.0-SNAPSHOT" : v;
  }

  private static Option.Builder option(String name, String description) {
    return Option.builder().longOpt(name).desc(description);
  }
}
