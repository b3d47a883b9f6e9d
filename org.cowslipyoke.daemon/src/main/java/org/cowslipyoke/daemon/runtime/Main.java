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
import org.cowslipyoke.daemon.runtime.DaemonRuntime.Ports;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.util.Clock;

/** The program {@code cowslipyoked}. */
public final class Main {

  /** Exit code of a run without error. */
  public static final int DONE = 0;

  /** Exit code if the settings are refused or the process can't listen. */
  public static final int FAILED = 1;

  /** Exit code of a command line that can't be understood. */
  public static final int USAGE = 2;

  /** The daemon runs; the end of the process decides the exit code. */
  static final int STARTED = -1;

  private static final Options OPTIONS =
      new Options()
          .addOption(option(Texts.OPTION_SETTINGS, Texts.HELP_SETTINGS).hasArg().get())
          .addOption(option(Texts.OPTION_HELP, Texts.HELP_HELP).get())
          .addOption(option(Texts.OPTION_VERSION, Texts.HELP_VERSION).get());

  private Main() {}

  /** Runs the daemon until SIGTERM; the exit code is the result. */
  public static void main(String[] args) throws InterruptedException {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    int code = run(args, out, err, Roles::of);
    if (code == STARTED) {
      new CountDownLatch(1).await();
    }
    System.exit(code);
  }

  /** Starts the daemon, or answers an option, and returns {@link #STARTED} or the exit code. */
  static int run(
      String[] args, PrintWriter out, PrintWriter err, Function<DaemonContext, Role> roles) {
    CommandLine line;
    try {
      line = new DefaultParser().parse(OPTIONS, args);
    } catch (ParseException e) {
      err.println(e.getMessage());
      err.println(Texts.USAGE);
      return USAGE;
    }
    if (line.hasOption(Texts.OPTION_HELP)) {
      help(out);
      return DONE;
    }
    if (line.hasOption(Texts.OPTION_VERSION)) {
      out.println(Texts.PROGRAM + " " + version());
      return DONE;
    }
    if (!line.hasOption(Texts.OPTION_SETTINGS) || !line.getArgList().isEmpty()) {
      err.println(Texts.USAGE);
      return USAGE;
    }
    Path file = Path.of(line.getOptionValue(Texts.OPTION_SETTINGS));
    Either<Failure, Ports> started = SettingsFile.read(file).flatMap(s -> start(s, out, roles));
    started.peekLeft(f -> err.println(f.message()));
    return started.isRight() ? STARTED : FAILED;
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

  /** Ends the process with exit code 0; without the halt the JVM reports the signal's code. */
  private static void stop(DaemonRuntime runtime) {
    runtime.shutDown();
    LogManager.shutdown();
    Runtime.getRuntime().halt(DONE);
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
    out.println("usage: " + Texts.USAGE);
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
