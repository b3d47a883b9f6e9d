package org.cowslipyoke.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** A load on a deployment. */
interface Scenario {

  /** All scenarios by name, in the order of {@code --list}. */
  Map<String, Scenario> ALL = all();

  /** Returns one line about the scenario. */
  String description();

  /** Returns the deployment that it needs. */
  DeploymentSpec spec(String policy);

  /** Runs the load and records the answers. */
  void run(RunContext context);

  private static Map<String, Scenario> all() {
    Map<String, Scenario> all = new LinkedHashMap<>();
    all.put("lunch", new LunchScenario());
    all.put("domain", new DomainScenario());
    return all;
  }

  /** What a scenario works with. */
  record RunContext(Deployment deployment, Load load, Tally tally, LateWork lateWork) {}

  /** Short form for scenarios without own state. */
  static Scenario of(String description, Function<String, DeploymentSpec> spec, Body body) {
    return new Scenario() {
      @Override
      public String description() {
        return description;
      }

      @Override
      public DeploymentSpec spec(String policy) {
        return spec.apply(policy);
      }

      @Override
      public void run(RunContext context) {
        body.run(context);
      }
    };
  }

  /** The load of a scenario. */
  @FunctionalInterface
  interface Body {
    /** Runs the load. */
    void run(RunContext context);
  }
}
