package org.cowslipyoke.pgm;

import java.io.InputStream;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.HttpTransactionalTable;
import org.cowslipyoke.http.HttpVmList;
import org.cowslipyoke.pgm.Arguments.CommandException;
import org.cowslipyoke.pgm.Arguments.UsageException;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.util.Clock;

/** Command-line tool {@code cowslipyoke}. */
public final class Main {

  /** Exit code of a successful command. */
  public static final int DONE = 0;

  /** Exit code of a command that was refused or failed. */
  public static final int FAILED = 1;

  /** Exit code of an invalid command line. */
  public static final int USAGE = 2;

  /** Time-out of one call to a platform service. */
  private static final long CALL_TIMEOUT_MS = 5_000;

  private Main() {}

  /** Runs one command and exits with its exit code. */
  public static void main(String[] args) {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    int code;
    try (HttpConnector connector =
        HttpConnector.start("cowslipyoke", HttpConnector.Limits.defaults())) {
      PlatformClients platform =
          new PlatformClients(
              u -> new HttpTransactionalTable(connector, u, CALL_TIMEOUT_MS),
              u -> new HttpVmList(connector, u, CALL_TIMEOUT_MS));
      code = run(args, System.in, out, err, platform, Clock.system());
    }
    System.exit(code);
  }

  /** Creates clients of the platform's services from their URLs. */
  record PlatformClients(Function<URI, TransactionalTable> table, Function<URI, VmList> vms) {}

  /** Runs one command and returns the exit code. */
  static int run(
      String[] args, PrintWriter out, PrintWriter err, PlatformClients platform, Clock clock) {
    return run(args, InputStream.nullInputStream(), out, err, platform, clock);
  }

  /** Runs one command that may read standard input and returns the exit code. */
  static int run(
      String[] args,
      InputStream in,
      PrintWriter out,
      PrintWriter err,
      PlatformClients platform,
      Clock clock) {
    Output output = new Output(out, err, List.of(args).contains("--" + Messages.JSON));
    try {
      Arguments a = Arguments.parse(args);
      if (a.has(Messages.HELP)) {
        out.println(Messages.USAGE);
      } else if (a.has(Messages.VERSION)) {
        out.println("cowslipyoke " + version());
      } else {
        dispatch(a, in, output, platform, clock);
      }
      return DONE;
    } catch (UsageException e) {
      err.println(e.getMessage());
      err.println(Messages.USAGE);
      return USAGE;
    } catch (CommandException e) {
      output.printFailure(e.failure());
      return FAILED;
    }
  }

  private static void dispatch(
      Arguments a, InputStream in, Output output, PlatformClients platform, Clock clock)
      throws UsageException, CommandException {
    List<String> words = a.words();
    String first = words.isEmpty() ? "" : words.get(0);
    String second = words.size() < 2 ? "" : words.get(1);
    ConfigCommands config = new ConfigCommands(a, output, clock);
    switch (first) {
      case "config" -> {
        switch (second) {
          case "check" -> new CheckCommand(a, output, () -> table(a, platform)).call();
          case "validate" -> config.validate();
          case "diff" -> config.diff(table(a, platform));
          case "apply" -> config.apply(table(a, platform));
          case "show" -> config.show(table(a, platform));
          case "history" -> config.history(table(a, platform));
          default -> throw unknown(first + " " + second);
        }
      }
      case "audit" -> config.audit(table(a, platform));
      case "explain" -> new ExplainCommand(a, output, in).call();
      case "status" -> new StatusCommand(a, output, platform).call();
      default -> throw unknown(first);
    }
  }

  private static TransactionalTable table(Arguments a, PlatformClients platform)
      throws UsageException {
    return platform.table().apply(a.url(Messages.TABLE));
  }

  private static UsageException unknown(String command) {
    return new UsageException(String.format(Messages.UNKNOWN_COMMAND, command.strip()));
  }

  private static String version() {
    String v = Main.class.getPackage().getImplementationVersion();
    return v == null ? "0.1.0-SNAPSHOT" : v;
  }
}
