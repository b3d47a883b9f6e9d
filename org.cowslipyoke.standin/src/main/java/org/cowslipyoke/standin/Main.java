package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;

/** Starts one stand-in as a process. */
public final class Main {

  private static final int CRASHED = 137;

  private Main() {}

  /**
   * Starts the stand-in, prints the ready line and serves until the process is ended.
   *
   * @throws IOException if the settings cannot be read
   */
  public static void main(String[] args) throws IOException {
    org.apache.commons.cli.Options options =
        new org.apache.commons.cli.Options()
            .addOption(Option.builder().longOpt("kind").hasArg().required().get())
            .addOption(Option.builder().longOpt("settings").hasArg().get());
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      StandInKind kind = StandInKind.of(line.getOptionValue("kind"));
      String settings =
          line.hasOption("settings")
              ? Files.readString(Path.of(line.getOptionValue("settings")))
              : "{}";
      StandIn s =
          StandIn.start(kind, Options.object(settings), () -> Runtime.getRuntime().halt(CRASHED));
      ObjectNode ready = Options.JSON.createObjectNode();
      ready.put("event", "ready").put("kind", kind.wireName());
      ready.put("port", s.port()).put("adminPort", s.adminPort());
      System.out.println(ready);
      Thread.currentThread().join();
    } catch (ParseException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.exit(2);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
