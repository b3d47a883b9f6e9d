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
 * Limits the requests that may have crashed an engine. At most one suspect waits or runs at the
 * server, and a request that was in flight at two crashes is quarantined. Besides the suspects list
 * in force, the crashes of the server's own engine count, so that the limits hold while the table
 * is unavailable. Not thread-safe.
 */
final class SuspectRule {

  private final Clock clock;
  private final SuspectList suspects;
  private final SuspectList ownCrashes = new SuspectList();

  SuspectRule(Clock clock, SuspectList suspects) {
    this.clock = clock;
    this.suspects = suspects;
  }

  void onCrash(Collection<String> digests) {
    for (String d : new LinkedHashSet<>(digests)) {
      ownCrashes.offer(ownCrashes.current().withCrash(d, clock.wallMs()));
    }
  }

  void onCompleted(String digest) {
    if (ownCrashes.current().entries().containsKey(digest)) {
      ownCrashes.offer(ownCrashes.current().without(digest, clock.wallMs()));
    }
  }

  AdmissionRequest withSuspectMark(AdmissionRequest r) {
    return standing(r.digest()) == Status.CLEAR ? r : r.asSuspect();
  }

  /**
   * Returns whether a request is a suspect now. It may have been put on the list after it was
   * admitted.
   */
  boolean isSuspect(AdmissionRequest r) {
    return r.suspect() || standing(r.digest()) != Status.CLEAR;
  }

  Optional<Failure> quarantineRefusal(AdmissionRequest r) {
    return standing(r.digest()) == Status.QUARANTINED
        ? Optional.of(
            Failure.of(ErrorKind.QUARANTINED, "earlier runs of this request crashed servers"))
        : Optional.empty();
  }

  /**
   * Returns the reason to refuse a request; empty if it may be admitted.
   *
   * @param present requests that wait, run or hold a reservation at this server
   */
  Optional<Failure> refusal(
      AdmissionRequest r, Stream<AdmissionRequest> present, long retryAfterMs) {
    Optional<Failure> quarantined = quarantineRefusal(r);
    if (quarantined.isPresent() || !r.suspect() || present.noneMatch(this::isSuspect)) {
      return quarantined;
    }
    return Optional.of(
        new Failure(ErrorKind.SUSPECT_BUSY, "another suspect is here", retryAfterMs));
  }

  private Status standing(String digest) {
    long wall = clock.wallMs();
    Status listed = suspects.status(digest, wall);
    Status own = ownCrashes.status(digest, wall);
    return listed.compareTo(own) >= 0 ? listed : own;
  }
}
