package org.cowslipyoke.daemon.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.config.JsonSchemaValidator;
import org.cowslipyoke.daemon.runtime.Settings.Backend;
import org.cowslipyoke.daemon.runtime.Settings.Callers;
import org.cowslipyoke.daemon.runtime.Settings.Listen;
import org.cowslipyoke.daemon.runtime.Settings.Platform;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.jspecify.annotations.Nullable;

/** Reads and validates the settings of a process. */
public final class SettingsFile {

  /** Time for which requests are still accepted after the start of a shutdown, in milliseconds. */
  private static final long DEFAULT_DRAIN_DELAY_MS = 2_000;

  /** In milliseconds; above the longest deadline of a request, 300 s. */
  private static final long DEFAULT_DRAIN_TIMEOUT_MS = 600_000;

  private static final JsonSchemaValidator CHECK =
      JsonSchemaValidator.ofResource(SettingsFile.class, "settings.schema.json");

  private SettingsFile() {}

  /** Reads and parses a settings file. */
  public static Either<Failure, Settings> read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      String m = String.format(DaemonText.SETTINGS_UNREADABLE, file, e.getClass().getSimpleName());
      return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, m));
    }
  }

  /** Parses settings in JSON. The failure lists each error with path, value and rule. */
  public static Either<Failure, Settings> parse(String json) {
    return CHECK
        .parse(json)
        .flatMap(
            n -> {
              List<String> errors = roleErrors(n);
              return errors.isEmpty()
                  ? Either.right(settings(n))
                  : Either.left(Failure.of(ErrorKind.INVALID_REQUEST, String.join("\n", errors)));
            });
  }

  private static List<String> roleErrors(JsonNode n) {
    List<String> errors = new ArrayList<>();
    JsonNode backend = n.path("backend");
    if (n.path("role").asText().equals(DaemonText.ROLE_SERVER)) {
      if (backend.isMissingNode()) {
        errors.add(DaemonText.BACKEND_MISSING);
      } else if (backend.has("engine") == backend.has("service")) {
        errors.add(String.format(DaemonText.BACKEND_ONE_OF, backend));
      }
      if (n.has("policy")) {
        errors.add(String.format(DaemonText.POLICY_NOT_ALLOWED, n.path("policy").asText()));
      }
    } else if (!backend.isMissingNode()) {
      errors.add(String.format(DaemonText.BACKEND_NOT_ALLOWED, backend));
    }
    return errors;
  }

  private static Settings settings(JsonNode n) {
    JsonNode listen = n.path("listen");
    JsonNode platform = n.path("platform");
    return new Settings(
        n.path("vm").asText(),
        n.path("role").asText(),
        n.path("failureDomain").asText(),
        new Listen(
            listen.path("host").asText(),
            listen.path("httpPort").asInt(),
            listen.path("framePort").asInt()),
        new Platform(
            platform.path("table").asText(),
            platform.path("objects").asText(),
            platform.path("vms").asText(),
            platform.path("weights").asText()),
        backend(n.path("backend")),
        n.path("policy").asText(DaemonText.POLICY_DEFAULT),
        n.path("drainDelayMs").asLong(DEFAULT_DRAIN_DELAY_MS),
        n.path("drainTimeoutMs").asLong(DEFAULT_DRAIN_TIMEOUT_MS),
        callers(n.path("callers")));
  }

  private static Callers callers(JsonNode n) {
    return new Callers(
        n.path("memoryBytes").asLong(),
        n.path("maxConnections").asInt(),
        n.path("maxConnectionsPerAddress").asInt());
  }

  private static @Nullable Backend backend(JsonNode n) {
    if (n.isMissingNode()) {
      return null;
    }
    return new Backend(n.path("group").asText(), text(n, "engine"), text(n, "service"));
  }

  private static @Nullable String text(JsonNode n, String key) {
    return n.has(key) ? n.path(key).asText() : null;
  }
}
