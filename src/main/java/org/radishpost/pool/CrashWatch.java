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
final class CrashWatch {
  private static final long TOGETHER_NANOS = 100_000_000L;

  private final SuspectRegistry suspects;
  private final List<Crash> open = new ArrayList<>();

  CrashWatch(SuspectRegistry suspects) {
    this.suspects = suspects;
  }

  /** Takes note that a connection died; the call is no longer among the running ones. */
  void died(SentCall dead, Collection<SentCall> running, long nowNanos) {
    Crash crash = find(dead.target(), dead.call().id()).orElse(null);
    if (crash == null) {
      crash = new Crash(dead.target(), nowNanos);
      open.add(crash);
      for (SentCall other : running) {
        if (other.target() == dead.target()) {
          crash.atRisk.add(other.call().id());
        }
      }
    }
    crash.atRisk.remove(dead.call().id());
    crash.dead.add(dead.call());
    closeIfWhole(crash, nowNanos);
  }

  /** Takes note that a call ended otherwise. */
  void survived(SentCall ended, long nowNanos) {
    if (open.isEmpty()) {
      return;
    }
    find(ended.target(), ended.call().id())
        .ifPresent(
            crash -> {
              crash.atRisk.remove(ended.call().id());
              closeIfWhole(crash, nowNanos);
            });
  }

  /** Ends the wait for further deaths. */
  void tick(long nowNanos) {
    Iterator<Crash> crashes = open.iterator();
    while (crashes.hasNext()) {
      Crash crash = crashes.next();
      if (nowNanos - crash.beganNanos >= TOGETHER_NANOS) {
        blame(crash, nowNanos);
        crashes.remove();
      }
    }
  }

  private Optional<Crash> find(TargetTracker target, CallId call) {
    for (Crash crash : open) {
      if (crash.target == target && crash.atRisk.contains(call)) {
        return Optional.of(crash);
      }
    }
    return Optional.empty();
  }

  private void closeIfWhole(Crash crash, long nowNanos) {
    if (crash.atRisk.isEmpty()) {
      blame(crash, nowNanos);
      open.remove(crash);
    }
  }

  private void blame(Crash crash, long nowNanos) {
    for (CallFacts call : crash.dead) {
      Optional<Digest> fingerprint = call.fingerprint();
      fingerprint.ifPresent(
          f -> suspects.crashed(call.homeRegions(), f, crash.dead.size(), nowNanos));
    }
  }

  private static final class Crash {
    private final TargetTracker target;
    private final long beganNanos;
    private final List<CallId> atRisk = new ArrayList<>();
    private final List<CallFacts> dead = new ArrayList<>();

    Crash(TargetTracker target, long beganNanos) {
      this.target = target;
      this.beganNanos = beganNanos;
    }
  }
}
