package org.radishpost.suspects;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;

/**
 * Remembers the requests that crash targets, by their digests, over all VMs.
 *
 * <p>A crash is worth {@value #POINTS_PER_CRASH} points, which the requests that died with the
 * target share. A request with {@value #MIN_BLOCKED_POINTS} points, counted over all VMs, is
 * condemned. A full answer clears a request, because a request that crashes targets never gets one.
 * Each VM's count only grows and counts merge by the maximum for each VM, so that a message told
 * twice counts once. Bounded in memory; thread-safe.
 */
public final class SuspectRegistry {
  /** What one crash is worth. */
  public static final int POINTS_PER_CRASH = 12;

  /** The points from which on a request is condemned: three crashes on its own. */
  public static final int MIN_BLOCKED_POINTS = 36;

  /** How long a request is remembered after its last crash, in nanoseconds. */
  public static final long SUSPECT_EXPIRY_NANOS = 600_000_000_000L;

  /** The most requests that are remembered. */
  public static final int MAX_SUSPECTS = 4_096;

  private static final int MAX_VMS_PER_SUSPECT = 64;
  private static final int MAX_POINTS_PER_VM = 1_000_000;

  private final VmId self;
  private final SuspectListener listener;
  private final Map<Digest, Suspect> suspects = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Creates an empty registry.
   *
   * @param self the VM
   * @param listener told of each crash that this VM counts, so that the other VMs learn of it
   */
  public SuspectRegistry(VmId self, SuspectListener listener) {
    this.self = self;
    this.listener = listener;
  }

  /**
   * Takes note that a target crashed while the request ran on it.
   *
   * @param homeRegions the only regions that may hear of the request; empty for all
   * @param fingerprint the digest of the request
   * @param lostRequests how many requests died with the target, this one among them
   */
  public void recordCrash(
      Set<RegionName> homeRegions, Digest fingerprint, int lostRequests, long nowNanos) {
    listener.crashCounted(
        homeRegions, fingerprint, addCrashPoints(fingerprint, lostRequests, nowNanos));
  }

  /** Takes the points that another VM has counted for a request. */
  public synchronized void merge(VmId vm, Digest fingerprint, int points, long nowNanos) {
    if (vm.equals(self) || points <= 0) {
      return;
    }
    Suspect suspect = getOrAddSuspect(fingerprint, nowNanos);
    int knownPoints = suspect.pointsByVm.getOrDefault(vm, 0);
    boolean hasCapacity = knownPoints > 0 || suspect.pointsByVm.size() < MAX_VMS_PER_SUSPECT;
    if (points <= knownPoints || !hasCapacity) {
      return;
    }
    suspect.pointsByVm.put(vm, Math.min(points, MAX_POINTS_PER_VM));
    suspect.lastCrashNanos = nowNanos;
  }

  /** Takes note that a target answered the request in full, which clears it. */
  public synchronized void recordResponse(Digest fingerprint) {
    if (suspects.isEmpty()) {
      return;
    }
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.clearedPoints = suspect.totalPoints();
    }
  }

  /** Tells whether the request may no longer be sent to any target. */
  public synchronized boolean isBlocked(Digest fingerprint, long nowNanos) {
    return activePoints(fingerprint, nowNanos) >= MIN_BLOCKED_POINTS;
  }

  /** Returns the number of remembered requests. */
  public synchronized int size() {
    return suspects.size();
  }

  private synchronized int addCrashPoints(Digest fingerprint, int lostRequests, long nowNanos) {
    Suspect suspect = getOrAddSuspect(fingerprint, nowNanos);
    int points =
        suspect.pointsByVm.getOrDefault(self, 0) + POINTS_PER_CRASH / Math.max(1, lostRequests);
    suspect.pointsByVm.put(self, points);
    suspect.lastCrashNanos = nowNanos;
    return points;
  }

  private int activePoints(Digest fingerprint, long nowNanos) {
    if (suspects.isEmpty()) {
      return 0;
    }
    Suspect suspect = suspects.get(fingerprint);
    if (suspect == null) {
      return 0;
    }
    if (nowNanos - suspect.lastCrashNanos >= SUSPECT_EXPIRY_NANOS) {
      suspects.remove(fingerprint);
      return 0;
    }
    return suspect.totalPoints() - suspect.clearedPoints;
  }

  private Suspect getOrAddSuspect(Digest fingerprint, long nowNanos) {
    activePoints(fingerprint, nowNanos);
    Suspect suspect = suspects.computeIfAbsent(fingerprint, f -> new Suspect(nowNanos));
    while (suspects.size() > MAX_SUSPECTS) {
      Iterator<Digest> eldest = suspects.keySet().iterator();
      eldest.next();
      eldest.remove();
    }
    return suspect;
  }

  private static final class Suspect {
    private final Map<VmId, Integer> pointsByVm = new LinkedHashMap<>();
    private int clearedPoints;
    private long lastCrashNanos;

    Suspect(long nowNanos) {
      this.lastCrashNanos = nowNanos;
    }

    int totalPoints() {
      int total = 0;
      for (int points : pointsByVm.values()) {
        total += points;
      }
      return total;
    }
  }
}
