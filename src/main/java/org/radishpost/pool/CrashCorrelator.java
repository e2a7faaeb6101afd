package org.radishpost.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Digest;
import org.radishpost.suspects.SuspectRegistry;

/**
 * Joins the deaths of connections to one target into a crash and shares the blame for it.
 *
 * <p>The calls that ran when the first connection died and whose connections die within a short
 * time died together. Those that are answered after all have no part in it.
 */
final class CrashCorrelator {
  private static final long CORRELATION_WINDOW_NANOS = 100_000_000L;

  private final SuspectRegistry suspects;
  private final List<Crash> openCrashes = new ArrayList<>();

  CrashCorrelator(SuspectRegistry suspects) {
    this.suspects = suspects;
  }

  /** Takes note that a connection died; the call is no longer among the running ones. */
  void connectionLost(InFlightCall lost, Collection<InFlightCall> inFlight, long nowNanos) {
    Crash crash = find(lost.target(), lost.call().id()).orElse(null);
    if (crash == null) {
      crash = new Crash(lost.target(), nowNanos);
      openCrashes.add(crash);
      for (InFlightCall other : inFlight) {
        if (other.target() == lost.target()) {
          crash.pendingCalls.add(other.call().id());
        }
      }
    }
    crash.pendingCalls.remove(lost.call().id());
    crash.lostCalls.add(lost.call());
    closeIfComplete(crash, nowNanos);
  }

  /** Takes note that a call ended otherwise. */
  void endedOtherwise(InFlightCall ended, long nowNanos) {
    if (openCrashes.isEmpty()) {
      return;
    }
    find(ended.target(), ended.call().id())
        .ifPresent(
            crash -> {
              crash.pendingCalls.remove(ended.call().id());
              closeIfComplete(crash, nowNanos);
            });
  }

  /** Ends the wait for further deaths. */
  void tick(long nowNanos) {
    Iterator<Crash> crashes = openCrashes.iterator();
    while (crashes.hasNext()) {
      Crash crash = crashes.next();
      if (nowNanos - crash.startNanos >= CORRELATION_WINDOW_NANOS) {
        recordSuspects(crash, nowNanos);
        crashes.remove();
      }
    }
  }

  private Optional<Crash> find(TargetTracker target, CallId call) {
    for (Crash crash : openCrashes) {
      if (crash.target == target && crash.pendingCalls.contains(call)) {
        return Optional.of(crash);
      }
    }
    return Optional.empty();
  }

  private void closeIfComplete(Crash crash, long nowNanos) {
    if (crash.pendingCalls.isEmpty()) {
      recordSuspects(crash, nowNanos);
      openCrashes.remove(crash);
    }
  }

  private void recordSuspects(Crash crash, long nowNanos) {
    for (CallFacts call : crash.lostCalls) {
      Optional<Digest> fingerprint = call.fingerprint();
      fingerprint.ifPresent(
          digest ->
              suspects.recordCrash(call.homeRegions(), digest, crash.lostCalls.size(), nowNanos));
    }
  }

  private static final class Crash {
    private final TargetTracker target;
    private final long startNanos;
    private final List<CallId> pendingCalls = new ArrayList<>();
    private final List<CallFacts> lostCalls = new ArrayList<>();

    Crash(TargetTracker target, long startNanos) {
      this.target = target;
      this.startNanos = startNanos;
    }
  }
}
