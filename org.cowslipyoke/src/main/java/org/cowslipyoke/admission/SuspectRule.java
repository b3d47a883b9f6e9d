package org.cowslipyoke.admission;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.stream.Stream;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.suspect.SuspectList.Status;
import org.cowslipyoke.util.Clock;

/**
 * At most one suspect is on the server, and a request that was in flight at two crashes is
 * quarantined. Besides the list in force, the crashes of the own engine count, so the rule holds
 * while the table is unavailable. Not thread-safe.
 */
final class SuspectRule {

  private final Clock clock;
  private final SuspectList suspects;
  private final SuspectList ownCrashes = new SuspectList();

  SuspectRule(Clock clock, SuspectList suspects) {
    this.clock = clock;
    this.suspects = suspects;
  }

  void crashed(Collection<String> digests) {
    for (String d : new LinkedHashSet<>(digests)) {
      ownCrashes.offer(ownCrashes.current().withCrash(d, clock.wallMs()));
    }
  }

  void completed(String digest) {
    if (ownCrashes.current().entries().containsKey(digest)) {
      ownCrashes.offer(ownCrashes.current().without(digest, clock.wallMs()));
    }
  }

  AdmissionRequest marked(AdmissionRequest r) {
    return standing(r.digest()) == Status.CLEAR ? r : r.asSuspect();
  }

  /** The list may have named a request after it was admitted. */
  boolean isSuspect(AdmissionRequest r) {
    return r.suspect() || standing(r.digest()) != Status.CLEAR;
  }

  Optional<Failure> quarantine(AdmissionRequest r) {
    return standing(r.digest()) == Status.QUARANTINED
        ? Optional.of(
            Failure.of(ErrorKind.QUARANTINED, "earlier runs of this request crashed servers"))
        : Optional.empty();
  }

  /** Returns why the request may not join the ones that are here. */
  Optional<Failure> refusal(AdmissionRequest r, Stream<AdmissionRequest> here, long retryAfterMs) {
    Optional<Failure> quarantine = quarantine(r);
    if (quarantine.isPresent() || !r.suspect() || here.noneMatch(this::isSuspect)) {
      return quarantine;
    }
    return Optional.of(
        new Failure(ErrorKind.SUSPECT_BUSY, "another suspect is here", retryAfterMs));
  }

  private Status standing(String digest) {
    long wall = clock.wallMs();
    Status known = suspects.status(digest, wall);
    Status own = ownCrashes.status(digest, wall);
    return known.compareTo(own) >= 0 ? known : own;
  }
}
