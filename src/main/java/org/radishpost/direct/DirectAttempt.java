package org.radishpost.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.radishpost.http.Call;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.PlacedCall;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TrackedTarget;

/**
 * How far a call has come: where it was sent and whether it may have run.
 *
 * <p>A call that may be repeated may be at two targets at once. Confined to one thread.
 */
final class DirectAttempt {
  private final Call call;
  private final ServiceName service;
  private final PlacedCall placed;
  private final long holdUntilNanos;
  private final Set<TargetId> tried = new HashSet<>();
  private Optional<TrackedTarget> last = Optional.empty();
  private int open;
  private boolean ran;
  private int arrivals;
  private boolean lookedFar;

  DirectAttempt(Call call, ServiceName service, PlacedCall placed, long holdUntilNanos) {
    this.call = call;
    this.service = service;
    this.placed = placed;
    this.holdUntilNanos = holdUntilNanos;
  }

  Call call() {
    return call;
  }

  ServiceName service() {
    return service;
  }

  PlacedCall placed() {
    return placed;
  }

  /** Returns until when it may be kept back. */
  long holdUntilNanos() {
    return holdUntilNanos;
  }

  /** Tells whether other regions may be asked, which each call does once. */
  boolean looksFar() {
    boolean first = !lookedFar;
    lookedFar = true;
    return first;
  }

  /** Returns the targets that it is not sent to again. */
  Set<TargetId> tried() {
    return tried;
  }

  /** Returns the target that it was last sent to. */
  Optional<TrackedTarget> last() {
    return last;
  }

  /** Tells whether a target may have run it, as far as is known. */
  boolean mayHaveRun() {
    return ran || open > 0;
  }

  /** Tells whether the route allows that it is sent to one more target. */
  boolean mayGoOn() {
    return arrivals < call.match().route().terms().maxAttempts();
  }

  /** Returns the targets that it has reached, as far as is known. */
  int arrivals() {
    return arrivals;
  }

  void sentTo(TrackedTarget target) {
    tried.add(target.target().id());
    last = Optional.of(target);
    open++;
    arrivals++;
  }

  /** Takes note that the call never reached the target that it was last sent to. */
  void notReached() {
    open--;
    arrivals--;
  }

  /** Takes note that the target that it was last sent to says that it did not run it. */
  void notRun() {
    open--;
  }

  /** Takes note that the last send has ended and that the target may have run the call. */
  void endedUnknown() {
    open--;
    ran = true;
  }
}
