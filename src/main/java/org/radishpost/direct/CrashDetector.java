package org.radishpost.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.Digest;
import org.radishpost.placement.Target;
import org.radishpost.suspects.CrashHistory;
import org.radishpost.suspects.CrashId;
import org.radishpost.suspects.LostRequest;
import reactor.core.scheduler.Scheduler;

/**
 * Distinguishes the crash of a target from a lost connection by a check of its process, and records
 * the requests that were lost in the crash.
 *
 * <p>Confined to one thread.
 */
final class CrashDetector {
  private final LivenessCheck check;
  private final CrashHistory history;
  private final Scheduler clock;
  private final EventSink events;
  private final Map<CrashId, PendingCheck> pendingChecks = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param check checks the process of a target
   * @param history receives the crashes
   * @param clock provides the time
   * @param events receives an event for each crash
   */
  CrashDetector(LivenessCheck check, CrashHistory history, Scheduler clock, EventSink events) {
    this.check = check;
    this.history = history;
    this.clock = clock;
    this.events = events;
  }

  /**
   * Records that the connection to a target was lost before the response to a request was complete.
   *
   * @param target the target
   * @param request the request
   * @param requestId the ID of the request, for the log
   */
  void recordConnectionLost(Target target, LostRequest request, String requestId) {
    CrashId id = CrashId.of(target);
    PendingCheck pending = pendingChecks.get(id);
    if (pending != null) {
      pending.add(request, requestId);
      return;
    }
    PendingCheck started = new PendingCheck(clock.now(TimeUnit.NANOSECONDS));
    started.add(request, requestId);
    if (history.contains(id)) {
      crashed(id, started);
      return;
    }
    pendingChecks.put(id, started);
    check.of(target).subscribe(liveness -> checked(id, liveness));
  }

  /** Records a complete response to a request. */
  void recordResponse(Digest fingerprint) {
    pendingChecks.values().forEach(pending -> pending.remove(fingerprint));
    history.recordResponse(fingerprint);
  }

  /** Returns whether no crash is known or being checked. */
  boolean isIdle() {
    return pendingChecks.isEmpty() && history.isEmpty();
  }

  private void checked(CrashId id, TargetLiveness liveness) {
    PendingCheck pending = pendingChecks.remove(id);
    if (liveness == TargetLiveness.GONE) {
      crashed(id, pending);
    }
  }

  private void crashed(CrashId id, PendingCheck lost) {
    events.emit(
        EventCode.TARGET_CRASHED,
        EventField.of("target", id.target()),
        EventField.of("requests", String.join(",", lost.requestIds)),
        EventField.of("fingerprints", lost.shortFingerprints()));
    if (!lost.requests.isEmpty()) {
      history.recordCrash(id, lost.lostNanos, lost.requests);
    }
  }

  /** The requests that were lost with a target whose process is being checked. */
  private static final class PendingCheck {
    private final long lostNanos;
    private final Set<LostRequest> requests = new LinkedHashSet<>();
    private final List<String> requestIds = new ArrayList<>();

    private PendingCheck(long lostNanos) {
      this.lostNanos = lostNanos;
    }

    private void add(LostRequest request, String requestId) {
      requests.add(request);
      requestIds.add(requestId);
    }

    private void remove(Digest fingerprint) {
      requests.removeIf(request -> request.fingerprint().equals(fingerprint));
    }

    private String shortFingerprints() {
      return requests.stream()
          .map(request -> request.fingerprint().shortHex())
          .collect(Collectors.joining(","));
    }
  }
}
