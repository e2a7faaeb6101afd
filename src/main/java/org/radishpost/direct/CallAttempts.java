package org.radishpost.direct;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.radishpost.http.Call;
import org.radishpost.http.Exchange;
import org.radishpost.lib.Digest;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.PlacementRequest;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TrackedTarget;

/**
 * The state of a call: the targets that it was sent to and whether one of them may have run it.
 *
 * <p>An idempotent call can be in flight to two targets at the same time. Confined to one thread.
 */
final class CallAttempts {
  private final Call call;
  private final ServiceName service;
  private final PlacementRequest placementRequest;
  private final long arrivedNanos;
  private final long uncertainHoldUntilNanos;
  private final long holdUntilNanos;
  private final Set<TargetId> tried = new HashSet<>();
  private Optional<TrackedTarget> lastTarget = Optional.empty();
  private long firstSendNanos;
  private int inFlight;
  private boolean possiblyRun;
  private int connectedAttempts;
  private boolean remoteProbed;
  private Optional<Exchange> lastExchange = Optional.empty();
  private Optional<Digest> fingerprint = Optional.empty();

  CallAttempts(
      Call call,
      ServiceName service,
      PlacementRequest placementRequest,
      long arrivedNanos,
      long uncertainHoldUntilNanos,
      long holdUntilNanos) {
    this.call = call;
    this.service = service;
    this.placementRequest = placementRequest;
    this.arrivedNanos = arrivedNanos;
    this.uncertainHoldUntilNanos = uncertainHoldUntilNanos;
    this.holdUntilNanos = holdUntilNanos;
  }

  Call call() {
    return call;
  }

  ServiceName service() {
    return service;
  }

  /** Returns the digest that identifies repetitions of the call; calculated on first use. */
  Digest fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(RequestFingerprint.of(call));
    }
    return fingerprint.get();
  }

  PlacementRequest placementRequest() {
    return placementRequest;
  }

  /** Returns the time until the deadline of the call; positive even if the deadline has passed. */
  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(1, call.info().deadlineNanos() - nowNanos));
  }

  /** Returns whether the deadline of the call has passed. */
  boolean deadlineReached(long nowNanos) {
    return call.info().deadlineNanos() - nowNanos <= 0;
  }

  /** Returns the time from the arrival of the call until it was first sent, or until now. */
  long waitedNanos(long nowNanos) {
    return (lastTarget.isPresent() ? firstSendNanos : nowNanos) - arrivedNanos;
  }

  /** Returns the latest time until which the call may be held while targets may be full. */
  long uncertainHoldUntilNanos() {
    return uncertainHoldUntilNanos;
  }

  /** Returns the latest time until which the call may be held while all targets are full. */
  long holdUntilNanos() {
    return holdUntilNanos;
  }

  /**
   * Returns {@code true} on the first invocation only: a call probes other regions at most once.
   */
  boolean tryStartRemoteProbe() {
    boolean first = !remoteProbed;
    remoteProbed = true;
    return first;
  }

  /** Returns the targets that the call was already sent to; it is not sent to them again. */
  Set<TargetId> tried() {
    return tried;
  }

  /** Returns the target that the call was last sent to, or empty if it was never sent. */
  Optional<TrackedTarget> lastTarget() {
    return lastTarget;
  }

  /** Returns what was observed of the attempt that was started or ended last, or empty. */
  Optional<Exchange> lastExchange() {
    return lastExchange;
  }

  void recordExchange(Exchange exchange) {
    lastExchange = Optional.of(exchange);
  }

  /** Returns whether a target has run the call or may have done so. */
  boolean mayHaveRun() {
    return possiblyRun || inFlight > 0;
  }

  /** Returns whether the attempt limit of the route allows another attempt. */
  boolean hasAttemptsLeft() {
    return connectedAttempts < call.match().route().policy().maxAttempts();
  }

  /** Returns the number of attempts, not counting those that failed to connect. */
  int connectedAttempts() {
    return connectedAttempts;
  }

  void recordSend(TrackedTarget target, long nowNanos) {
    if (lastTarget.isEmpty()) {
      firstSendNanos = nowNanos;
    }
    tried.add(target.target().id());
    lastTarget = Optional.of(target);
    inFlight++;
    connectedAttempts++;
  }

  /** Records that the last attempt failed before any byte was sent. */
  void recordNotConnected() {
    inFlight--;
    connectedAttempts--;
  }

  /** Records that a target reported that it did not run the call. */
  void recordNotRun() {
    inFlight--;
  }

  /** Records that an attempt has ended and that its target may have run the call. */
  void recordPossiblyRun() {
    inFlight--;
    possiblyRun = true;
  }
}
