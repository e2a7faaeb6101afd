package org.radishpost.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Digest;
import org.radishpost.suspects.SuspectRegistry;

/**
 * Groups the lost connections to one target into crashes and records their calls in the {@link
 * SuspectRegistry}.
 *
 * <p>A crash starts with the first lost connection. It includes every call that was in flight to
 * the target at that time and loses its connection within {@link #CORRELATION_WINDOW_NANOS}. Calls
 * that end in any other way are not part of the crash. The calls of a crash share its {@link
 * SuspectRegistry#POINTS_PER_CRASH} points. Not thread-safe.
 */
final class CrashCorrelator {
  private static final long CORRELATION_WINDOW_NANOS = 100_000_000L;

  private final SuspectRegistry suspects;
  private final List<Crash> openCrashes = new ArrayList<>();

  CrashCorrelator(SuspectRegistry suspects) {
    this.suspects = suspects;
  }

  /**
   * Records the loss of a connection.
   *
   * @param lost the call whose connection was lost
   * @param inFlightCalls the other calls in flight, without {@code lost}
   */
  void recordConnectionLost(
      InFlightCall lost, Collection<InFlightCall> inFlightCalls, long nowNanos) {
    Crash crash = findCrash(lost.target(), lost.call().id()).orElse(null);
    if (crash == null) {
      crash = new Crash(lost.target(), nowNanos);
      openCrashes.add(crash);
      for (InFlightCall other : inFlightCalls) {
        if (other.target() == lost.target()) {
          crash.pendingCalls.add(other.call().id());
        }
      }
    }
    crash.pendingCalls.remove(lost.call().id());
    crash.lostCalls.add(lost.call());
    closeIfComplete(crash, nowNanos);
  }

  /** Records that a call ended without losing its connection. */
  void recordOtherEnd(InFlightCall ended, long nowNanos) {
    if (openCrashes.isEmpty()) {
      return;
    }
    findCrash(ended.target(), ended.call().id())
        .ifPresent(
            crash -> {
              crash.pendingCalls.remove(ended.call().id());
              closeIfComplete(crash, nowNanos);
            });
  }

  /** Completes the crashes whose correlation window has ended. */
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

  private Optional<Crash> findCrash(TargetTracker target, CallId call) {
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
    for (CallInfo call : crash.lostCalls) {
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
    private final List<CallInfo> lostCalls = new ArrayList<>();

    Crash(TargetTracker target, long startNanos) {
      this.target = target;
      this.startNanos = startNanos;
    }
  }
}
