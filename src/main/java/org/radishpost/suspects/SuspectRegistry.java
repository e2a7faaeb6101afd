package org.radishpost.suspects;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;

/**
 * Detects requests that crash targets. Counts the crashes over all VMs and identifies a request by
 * its digest.
 *
 * <p>A crash counts {@value #POINTS_PER_CRASH} points, which are divided equally between the
 * requests that were lost in the crash. A request that reaches {@value #BLOCKING_THRESHOLD_POINTS}
 * points, summed over all VMs, is blocked. A complete response to the request clears its points,
 * because a request that crashes its target never receives one. The points that a VM counts never
 * decrease, and a merge takes the maximum for each VM, so a message that is received twice counts
 * once. The memory used is bounded. Thread-safe.
 */
public final class SuspectRegistry {
  /** The number of points for one crash. */
  public static final int POINTS_PER_CRASH = 12;

  /**
   * The number of points at which a request is blocked, equal to three crashes in which no other
   * request was lost.
   */
  public static final int BLOCKING_THRESHOLD_POINTS = 36;

  /** The time for which a request stays recorded after its last crash. */
  public static final long SUSPECT_EXPIRY_NANOS = 600_000_000_000L;

  /** The maximum number of recorded requests. */
  public static final int MAX_SUSPECTS = 4_096;

  private static final int MAX_VMS_PER_SUSPECT = 64;
  private static final int MAX_POINTS_PER_VM = 1_000_000;

  private final VmId localVm;
  private final SuspectListener listener;
  private final Map<Digest, Suspect> suspects = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Creates an empty registry.
   *
   * @param localVm the ID of this VM
   * @param listener receives each crash that this VM counts, to forward it to the other VMs
   */
  public SuspectRegistry(VmId localVm, SuspectListener listener) {
    this.localVm = localVm;
    this.listener = listener;
  }

  /**
   * Records that a target crashed while it was running the request.
   *
   * @param homeRegions the regions that may be informed of the request; empty for all regions
   * @param fingerprint the digest of the request
   * @param lostRequests the number of requests lost in the crash, including this one
   */
  public void recordCrash(
      Set<RegionName> homeRegions, Digest fingerprint, int lostRequests, long nowNanos) {
    listener.crashCounted(
        homeRegions, fingerprint, addCrashPoints(fingerprint, lostRequests, nowNanos));
  }

  /** Merges the points that another VM has counted for a request. */
  public synchronized void merge(VmId vm, Digest fingerprint, int points, long nowNanos) {
    if (vm.equals(localVm) || points <= 0) {
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

  /** Records a complete response to the request, which clears its points. */
  public synchronized void recordResponse(Digest fingerprint) {
    if (suspects.isEmpty()) {
      return;
    }
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.clearedPoints = suspect.totalPoints();
    }
  }

  /** Returns whether the request is blocked, that is, must not be sent to any target. */
  public synchronized boolean isBlocked(Digest fingerprint, long nowNanos) {
    return activePoints(fingerprint, nowNanos) >= BLOCKING_THRESHOLD_POINTS;
  }

  /** Returns the number of recorded requests. */
  public synchronized int size() {
    return suspects.size();
  }

  private synchronized int addCrashPoints(Digest fingerprint, int lostRequests, long nowNanos) {
    Suspect suspect = getOrAddSuspect(fingerprint, nowNanos);
    int points =
        suspect.pointsByVm.getOrDefault(localVm, 0) + POINTS_PER_CRASH / Math.max(1, lostRequests);
    suspect.pointsByVm.put(localVm, points);
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
