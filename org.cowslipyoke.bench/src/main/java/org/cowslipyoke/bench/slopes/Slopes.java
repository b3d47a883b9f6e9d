package org.cowslipyoke.bench.slopes;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.cowslipyoke.bench.slopes.Fit.Point;

/** Runs experiments, fits a line to each and extrapolates to the target size. */
public final class Slopes {

  private static final int RUNS = 5;

  private final long seed;
  private final PrintStream out;

  /** Creates a runner that prints to a stream; the seed determines all random inputs. */
  public Slopes(long seed, PrintStream out) {
    this.seed = seed;
    this.out = out;
  }

  /** Runs the experiments and returns the results as JSON. */
  public ArrayNode run(List<Experiment> experiments) {
    out.printf("seed %d, %d runs at each size: minimum, median, maximum%n", seed, RUNS);
    ArrayNode results = new ObjectMapper().createArrayNode();
    for (Experiment e : experiments) {
      results.add(run(e));
    }
    return results;
  }

  private ObjectNode run(Experiment e) {
    List<Point> medians = new ArrayList<>();
    out.printf("%n%s: %s by %s%n", e.name(), e.valueUnit(), e.sizeUnit());
    for (int size : e.sizes()) {
      double[] values = measure(e, size);
      double median = values[RUNS / 2];
      medians.add(new Point(size, median));
      out.printf(
          Locale.ROOT, "  %10d  %14.3f %14.3f %14.3f%n", size, values[0], median, values[RUNS - 1]);
    }
    Fit f = Fit.of(medians);
    out.printf(
        Locale.ROOT,
        "  intercept %.4g, slope %.4g, spread %.1f %%, at %.0f: %.4g %s%n",
        f.intercept(),
        f.slope(),
        f.spread() * 100,
        e.target(),
        f.at(e.target()),
        e.valueUnit());
    return toJson(e, f);
  }

  private double[] measure(Experiment e, int size) {
    double[] values = new double[RUNS];
    for (int i = 0; i < RUNS; i++) {
      RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed + i);
      values[i] = e.measurement().measure(size, random);
    }
    Arrays.sort(values);
    return values;
  }

  private ObjectNode toJson(Experiment e, Fit f) {
    ObjectNode n = new ObjectMapper().createObjectNode();
    n.put("name", e.name()).put("size_unit", e.sizeUnit()).put("value_unit", e.valueUnit());
    n.put("seed", seed).put("runs", RUNS);
    n.put("intercept", f.intercept()).put("slope", f.slope()).put("spread", f.spread());
    n.put("target", e.target()).put("at_target", f.at(e.target()));
    return n;
  }
}
