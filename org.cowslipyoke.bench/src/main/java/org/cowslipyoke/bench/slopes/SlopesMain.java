package org.cowslipyoke.bench.slopes;

import java.util.List;

/** Runs all experiments, or those named as arguments after the seed. */
public final class SlopesMain {

  private SlopesMain() {}

  /** Runs {@code SEED [NAME...]}. */
  public static void main(String[] args) {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    List<String> names = List.of(args).subList(Math.min(1, args.length), args.length);
    List<Experiment> chosen =
        CoreExperiments.all().stream()
            .filter(e -> names.isEmpty() || names.contains(e.name()))
            .toList();
    new Slopes(seed, System.out).run(chosen);
  }
}
