package org.cowslipyoke.relay;

import io.vavr.control.Either;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.jspecify.annotations.Nullable;

/**
 * Authenticates requests and resolves their route. If the desired state is too old to decide,
 * because its store is unreachable or its content has just changed, the request is refused as "not
 * ready" and the caller may retry.
 */
public final class Admission {

  /**
   * Age of the desired state, in milliseconds, above which a request with an unknown key or route
   * is refused as "not ready" instead of denied, since a change that this process has not read may
   * be in force. Allows for two failed reads.
   */
  public static final long DENY_MAX_AGE_MS = 2_000;

  /** Retry delay suggested to callers while the process is not ready, in milliseconds. */
  public static final long NOT_READY_RETRY_MS = 300;

  /**
   * An admitted request.
   *
   * @param tenancy policy of the organisation that owns the key, null on a route that needs no key
   */
  public record AdmittedRequest(
      DesiredState desired, Route route, @Nullable OrganisationPolicy tenancy) {

    /**
     * Returns the priority of the request: the organisation's if it has one, else the route's. 0 is
     * the most urgent.
     */
    public int priority() {
      Integer own = tenancy == null ? null : tenancy.priority();
      return own == null ? route.priority() : own;
    }
  }

  private final FleetStateHolder state;
  private final long keyMaxAgeMs;

  /**
   * Creates the admission check.
   *
   * @param keyMaxAgeMs maximum age of the desired state, in milliseconds, at which keys are
   *     accepted
   */
  public Admission(FleetStateHolder state, long keyMaxAgeMs) {
    this.state = state;
    this.keyMaxAgeMs = keyMaxAgeMs;
  }

  /** Admits a request or returns the reason for its refusal. */
  public Either<Failure, AdmittedRequest> admit(RelayRequest r) {
    FleetState s = state.get();
    DesiredState d = s.desired();
    if (d == null) {
      return notReady("the desired state has not been read yet");
    }
    long ageMs = state.operatorConfigAgeMs();
    boolean mayDeny = ageMs <= DENY_MAX_AGE_MS;
    Optional<Route> route = d.routes().find(r.host(), r.path());
    if (route.isEmpty()) {
      return mayDeny
          ? Either.left(Failure.of(ErrorKind.NOT_FOUND, "no route matches this host and path"))
          : notReady("no route matches and the desired state is " + ageMs + " ms old");
    }
    if (!d.requiresKeys() || route.get().open()) {
      return Either.right(new AdmittedRequest(d, route.get(), null));
    }
    OrganisationPolicy t = r.key() == null ? null : d.keys().get(r.key());
    if (t == null) {
      return mayDeny
          ? Either.left(Failure.of(ErrorKind.UNAUTHENTICATED, "the key is not known"))
          : notReady("the key is not known and the desired state is " + ageMs + " ms old");
    }
    if (ageMs > keyMaxAgeMs) {
      return notReady("the key can't be confirmed, the desired state is " + ageMs + " ms old");
    }
    return Either.right(new AdmittedRequest(d, route.get(), t));
  }

  private static Either<Failure, AdmittedRequest> notReady(String message) {
    return Either.left(new Failure(ErrorKind.NOT_READY, message, NOT_READY_RETRY_MS));
  }
}
