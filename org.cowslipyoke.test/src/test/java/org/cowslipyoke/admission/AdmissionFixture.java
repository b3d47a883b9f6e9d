package org.cowslipyoke.admission;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cowslipyoke.admission.ServerAdmission.Grant;
import org.cowslipyoke.admission.ServerAdmission.PrefillEstimate;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.platform.ModelEngine.Load;
import org.cowslipyoke.platform.ModelEngine.State;
import org.cowslipyoke.suspect.SuspectList;

/** A server's admission with everything that it depends on. */
final class AdmissionFixture {

  final ManualClock clock = new ManualClock();
  final ConfigurationHolder configuration = new ConfigurationHolder();
  final SuspectList suspects = new SuspectList();
  final PauseDetector pauses = new PauseDetector(clock);
  final ServerAvailability standing = new ServerAvailability(configuration, pauses, "golega");
  final ServerAdmission admission =
      new ServerAdmission(clock, standing, configuration, suspects, new SplittableRandom(5));

  private long configVersion;

  /** Puts a configuration in force in which the server's failure domain has the state. */
  AdmissionFixture domain(DomainState state) {
    configVersion++;
    configuration.offer(
        new Configuration(
            configVersion,
            Map.of("places", configVersion),
            Map.of(),
            Map.of(),
            new Configuration.Places(Map.of("golega", state), Map.of(), Map.of(), Map.of()),
            new Configuration.Limits(1, 1, 1, 1, 60_000, 1 << 20)));
    return this;
  }

  /** Lets the engine be known with a weight version. */
  AdmissionFixture engine(String incarnation, String weightVersion) {
    admission.onState(new State(incarnation, "m", weightVersion, List.of(), "both", false, 0));
    admission.onLoad(load(incarnation, false));
    return this;
  }

  static Load load(String incarnation, boolean cold) {
    return new Load(incarnation, cold, 0, 0, 8, 10_000, 50);
  }

  /** Completes runs until the allowance is the engine's batch. */
  AdmissionFixture warm() {
    for (int i = 0; admission.allowance() < 8; i++) {
      admission.onFinished(run("warm-" + i), true);
    }
    return this;
  }

  /** Probes, starts and activates a run. */
  Ticket run(String id) {
    Ticket queued = enqueue(id);
    Ticket next = admission.activateNext().orElseThrow();
    if (next != queued) {
      throw new IllegalStateException("another run was waiting");
    }
    return next;
  }

  /** Probes and starts a run without activating it. */
  Ticket enqueue(String id) {
    AdmissionRequest r = request(id, "d-" + id);
    return admission.start(probe(r).get().reservationId(), r).get();
  }

  Either<Failure, Grant> probe(AdmissionRequest request) {
    return admission.probe(request, new PrefillEstimate(100, 0));
  }

  static AdmissionRequest request(String id, String digest) {
    return request(id, digest, 60_000);
  }

  static AdmissionRequest request(String id, String digest, long deadlineMs) {
    return new AdmissionRequest(
        id, "org", "m", "", "v1", digest, PriorityClass.INTERACTIVE, 100, deadlineMs, false);
  }
}
