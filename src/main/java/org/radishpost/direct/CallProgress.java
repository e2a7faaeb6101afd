package org.radishpost.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.radishpost.http.Call;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.PlacementRequest;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TrackedTarget;

/**
 * How far a call has come: where it was sent and whether it may have run.
 *
 * <p>A call that may be repeated may be at two targets at once. Confined to one thread.
 */
final class CallProgress {
  private final Call call;
  private final ServiceName service;
  private final PlacementRequest placementRequest;
  private final long holdUntilNanos;
  private final Set<TargetId> tried = new HashSet<>();
  private Optional<TrackedTarget> lastTarget = Optional.empty();
  private int inFlight;
  private boolean possiblyRun;
  private int reachedTargets;
  private boolean remoteProbed;

  CallProgress(
      Call call, ServiceName service, PlacementRequest placementRequest, long holdUntilNanos) {
    this.call = call;
    this.service = service;
    this.placementRequest = placementRequest;
    this.holdUntilNanos = holdUntilNanos;
  }

  Call call() {
    return call;
  }

  ServiceName service() {
    return service;
  }

  PlacementRequest placementRequest() {
    return placementRequest;
  }

  /** Returns until when it may be kept back. */
  long holdUntilNanos() {
    return holdUntilNanos;
  }

  /** Tells whether other regions may be asked, which each call does once. */
  boolean claimRemoteProbe() {
    boolean first = !remoteProbed;
    remoteProbed = true;
    return first;
  }

  /** Returns the targets that it is not sent to again. */
  Set<TargetId> tried() {
    return tried;
  }

  /** Returns the target that it was last sent to. */
  Optional<TrackedTarget> lastTarget() {
    return lastTarget;
  }

  /** Tells whether a target may have run it, as far as is known. */
  boolean mayHaveRun() {
    return possiblyRun || inFlight > 0;
  }

  /** Tells whether the route allows that it is sent to one more target. */
  boolean hasAttemptsLeft() {
    return reachedTargets < call.match().route().terms().maxAttempts();
  }

  /** Returns the targets that it has reached, as far as is known. */
  int reachedTargets() {
    return reachedTargets;
  }

  void recordSend(TrackedTarget target) {
    tried.add(target.target().id());
    lastTarget = Optional.of(target);
    inFlight++;
    reachedTargets++;
  }

  /** Takes note that the call never reached the target that it was last sent to. */
  void recordNotReached() {
    inFlight--;
    reachedTargets--;
  }

  /** Takes note that the target that it was last sent to says that it did not run it. */
  void recordNotRun() {
    inFlight--;
  }

  /** Takes note that the last send has ended and that the target may have run the call. */
  void recordPossiblyRun() {
    inFlight--;
    possiblyRun = true;
  }
}
