package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import org.radishpost.http.Call;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.suspects.CrashHistory;
import org.radishpost.suspects.LostRequest;

/**
 * Decides whether a call may still be sent, after targets have crashed while they ran requests like
 * it. Confined to one thread.
 */
final class CrashGuard {
  private final CrashHistory history;
  private final CrashDetector detector;
  private final String requestIdField;

  /**
   * Creates a guard.
   *
   * @param history the crashes that all VMs have observed
   * @param detector detects the crashes that this VM observes
   * @param requestIdField the name of the header field with the request ID
   */
  CrashGuard(CrashHistory history, CrashDetector detector, String requestIdField) {
    this.history = history;
    this.detector = detector;
    this.requestIdField = requestIdField;
  }

  /** Returns for how long a call like this one is not sent; empty if it may be sent. */
  Optional<Duration> blockedFor(CallAttempts attempts) {
    return history.isEmpty() ? Optional.empty() : history.blockedFor(attempts.fingerprint());
  }

  /** Returns whether the call may be the cause of a crash, so that it is sent only once. */
  boolean isSuspected(CallAttempts attempts) {
    return !history.isEmpty() && history.isSuspected(attempts.fingerprint());
  }

  /** Records that the connection to a target was lost before the response was complete. */
  void recordConnectionLost(CallAttempts attempts, TrackedTarget target, long sentNanos) {
    Call call = attempts.call();
    detector.recordConnectionLost(
        target.target(),
        new LostRequest(attempts.fingerprint(), sentNanos),
        call.head().headers().get(requestIdField, "none"));
  }

  /** Records a complete response to the call. */
  void recordResponse(CallAttempts attempts) {
    if (!detector.isIdle()) {
      detector.recordResponse(attempts.fingerprint());
    }
  }
}
