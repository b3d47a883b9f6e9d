package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cowslipyoke.bench.slopes.CoreExperiments;
import org.cowslipyoke.bench.slopes.Slopes;

/** Puts load on a local deployment under each routing policy and prints the measures. */
public final class Bench {

  private static final List<String> POLICIES =
      List.of("cost", "round-robin", "least-loaded", "hash-only");
  private static final ObjectMapper JSON = new ObjectMapper();

  private static final String SLOPES = "slopes";

  private Bench() {}

  /** Runs one scenario. The exit code tells whether it ran, not whether targets were met. */
  public static void main(String[] args) {
    Options options = new Options();
    options.addOption(null, "policy", true, "one of " + POLICIES + "; all by default");
    options.addOption(null, "seed", true, "seed of the load; random by default");
    options.addOption(null, "json", true, "file for the results");
    options.addOption(null, "list", false, "list the scenarios");
    try {
      System.exit(run(new DefaultParser().parse(options, args)));
    } catch (ParseException | NumberFormatException e) {
      System.err.println("bench: " + e.getMessage());
      System.exit(2);
    } catch (BenchException e) {
      System.err.println("bench failed: " + e.getMessage());
      System.exit(1);
    }
  }

  private static int run(CommandLine line) {
    if (line.hasOption("list")) {
      Scenario.ALL.forEach((name, s) -> System.out.println(name + "  " + s.description()));
      System.out.println(SLOPES + "  growth of the cost of decisions, for docs/CAPACITY.md");
      return 0;
    }
    if (line.getArgList().equals(List.of(SLOPES))) {
      new Slopes(Long.parseLong(line.getOptionValue("seed", "1")), System.out)
          .run(CoreExperiments.all());
      return 0;
    }
    List<String> policies =
        line.hasOption("policy") ? List.of(line.getOptionValue("policy")) : POLICIES;
    Scenario scenario =
        line.getArgList().size() == 1 ? Scenario.ALL.get(line.getArgList().get(0)) : null;
    if (scenario == null || !POLICIES.containsAll(policies)) {
      System.err.println("usage: bench SCENARIO [--policy NAME] [--seed N] [--json FILE] | --list");
      return 2;
    }
    String seedText = line.getOptionValue("seed");
    final long seed = seedText == null ? new Random().nextInt(100_000) : Long.parseLong(seedText);
    ArrayNode results = JSON.createArrayNode();
    for (String policy : policies) {
      ObjectNode result = JSON.createObjectNode();
      result.put("scenario", line.getArgList().get(0)).put("policy", policy).put("seed", seed);
      measure(scenario, policy, seed, result);
      results.add(result);
      Report.print(result);
    }
    if (line.hasOption("json")) {
      write(results, Path.of(line.getOptionValue("json")));
    }
    return 0;
  }

  private static void measure(Scenario scenario, String policy, long seed, ObjectNode result) {
    Tally tally = new Tally();
    Path root = Path.of(System.getProperty("cowslipyoke.root", "."));
    final long startMs = System.nanoTime() / 1_000_000;
    try (CallerClient client = new CallerClient();
        Deployment deployment = Deployment.start(scenario.spec(policy), root, client);
        Load load = new Load(deployment, client, tally, seed);
        LinkSampler links = new LinkSampler(deployment)) {
      Thread stop = new Thread(deployment::stop);
      Runtime.getRuntime().addShutdownHook(stop);
      LateWork late = new LateWork(deployment);
      load.warmUp();
      scenario.run(new Scenario.RunContext(deployment, load, tally, late));
      tally.writeTo(result);
      ReuseMeasure.writeTo(result, deployment);
      result.put("domain_work_late", late.late());
      result.set("links", links.result());
      Runtime.getRuntime().removeShutdownHook(stop);
    }
    result.put("run_ms", System.nanoTime() / 1_000_000 - startMs);
  }

  private static void write(ArrayNode results, Path file) {
    try {
      JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), results);
    } catch (IOException e) {
      throw new BenchException("cannot write " + file + ": " + e.getMessage());
    }
  }
}
