package org.radishpost.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpost.lib.PoolId;

/**
 * Tells which pools answer mostly with errors, as an entry VM sees it.
 *
 * <p>The owner of a pool may eject only a share of its targets; when more of them fail, the entry
 * VMs leave the whole pool for a while that doubles each time, and then try it with one call. When
 * all pools fail, all are used. One thread at a time.
 */
public final class PoolHealth {
  private static final double STEP = 0.2;
  private static final double POOR_SHARE = 0.5;
  private static final long FIRST_PAUSE_NANOS = 250_000_000;
  private static final long LONGEST_PAUSE_NANOS = 5_000_000_000L;

  private final Map<PoolId, Health> pools = new HashMap<>();

  /** Creates one that takes every pool for healthy. */
  public PoolHealth() {}

  /** Returns the pools that may be used now, all of them if none may. */
  public Set<PoolId> usable(Set<PoolId> candidates, long nowNanos) {
    if (pools.isEmpty()) {
      return candidates;
    }
    Set<PoolId> healthy =
        candidates.stream()
            .filter(pool -> !pools.containsKey(pool) || pools.get(pool).usable(nowNanos))
            .collect(Collectors.toSet());
    return healthy.isEmpty() ? candidates : healthy;
  }

  /** Takes note that a call goes to the pool. */
  public void chosen(PoolId pool, long nowNanos) {
    Health health = pools.get(pool);
    if (health != null) {
      health.chosen(nowNanos);
    }
  }

  /**
   * Takes note of an answer, or of a call that was lost.
   *
   * @param failed whether it was a server's error or no answer
   */
  public void answered(PoolId pool, boolean failed, long nowNanos) {
    if (!failed && !pools.containsKey(pool)) {
      return;
    }
    Health health = pools.computeIfAbsent(pool, unused -> new Health());
    health.answered(failed, nowNanos);
    if (health.perfect()) {
      pools.remove(pool);
    }
  }

  /** What is known of a pool that has failed lately. */
  private static final class Health {
    private static final double NEGLIGIBLE = 0.01;

    private double failures;
    private boolean poor;
    private long pausedUntilNanos;
    private long pauseNanos = FIRST_PAUSE_NANOS;

    private boolean usable(long nowNanos) {
      return !poor || nowNanos - pausedUntilNanos >= 0;
    }

    private boolean perfect() {
      return !poor && failures < NEGLIGIBLE;
    }

    private void chosen(long nowNanos) {
      if (poor) {
        pausedUntilNanos = nowNanos + pauseNanos;
      }
    }

    private void answered(boolean failed, long nowNanos) {
      failures += STEP * ((failed ? 1 : 0) - failures);
      if (!failed && poor) {
        poor = false;
        failures = 0;
        pauseNanos = FIRST_PAUSE_NANOS;
        return;
      }
      if (failed && poor && nowNanos - pausedUntilNanos >= 0) {
        pause(nowNanos);
      }
      if (failed && !poor && failures >= POOR_SHARE) {
        poor = true;
        pause(nowNanos);
      }
    }

    private void pause(long nowNanos) {
      pausedUntilNanos = nowNanos + pauseNanos;
      pauseNanos = Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
    }
  }
}
