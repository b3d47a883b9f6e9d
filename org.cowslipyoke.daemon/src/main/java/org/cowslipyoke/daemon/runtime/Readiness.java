package org.cowslipyoke.daemon.runtime;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.suspect.SuspectList;

/** Determines whether this process accepts new work and, if not, why. */
final class Readiness {

  private final Settings settings;
  private final ConfigurationHolder configuration;
  private final SuspectList suspects;
  private final PauseDetector pauses;
  private final Role role;
  private volatile boolean shuttingDown;

  Readiness(
      Settings settings,
      ConfigurationHolder configuration,
      SuspectList suspects,
      PauseDetector pauses,
      Role role) {
    this.settings = settings;
    this.configuration = configuration;
    this.suspects = suspects;
    this.pauses = pauses;
    this.role = role;
  }

  void shutDown() {
    shuttingDown = true;
  }

  boolean isReady() {
    return reason().isEmpty();
  }

  /** Returns why the process is not ready, empty if it is. */
  String reason() {
    if (shuttingDown) {
      return "shutting down";
    }
    if (configuration.current().isEmpty()) {
      return "no configuration";
    }
    if (!pauses.isCurrent()) {
      return "catching up after a pause";
    }
    return role.isReady() ? "" : "role is not ready";
  }

  /** Returns the body of {@code /readyz}. */
  ObjectNode report() {
    ObjectNode n = JsonNodeFactory.instance.objectNode();
    String reason = reason();
    n.put("ready", reason.isEmpty()).put("reason", reason);
    n.put("vm", settings.vm()).put("role", settings.role());
    n.put("failureDomain", settings.failureDomain());
    n.put("group", settings.backend() == null ? "" : settings.backend().group());
    n.put("configVersion", configuration.headVersion());
    ObjectNode sections = n.putObject("sections");
    configuration
        .current()
        .ifPresent(
            c -> {
              c.sectionVersions().forEach(sections::put);
              boolean in = c.places().acceptsNewWork(settings.failureDomain());
              n.put("domainState", in ? "in" : "out");
            });
    n.put("suspectsVersion", suspects.current().version());
    n.put("running", role.running());
    return n;
  }
}
