package org.radishpost.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpost.lib.PoolId;

/**
 * Ejects pools whose responses are mostly errors, as observed by one entry VM.
 *
 * <p>The owner of a pool may eject only a limited share of its targets. If more targets fail, each
 * entry VM ejects the whole pool for a period that doubles with each ejection, and then tries it
 * with a single call. If all pools are ejected, all of them are used. Not thread-safe; callers must
 * synchronize.
 */
public final class PoolHealth {
  private static final double EWMA_WEIGHT = 0.2;
  private static final double EJECTION_FAILURE_RATIO = 0.5;
  private static final long INITIAL_EJECTION_NANOS = 250_000_000;
  private static final long MAX_EJECTION_NANOS = 5_000_000_000L;

  private final Map<PoolId, FailureState> failuresByPool = new HashMap<>();

  /** Creates an instance in which all pools are healthy. */
  public PoolHealth() {}

  /** Returns the candidates that are not ejected, or all candidates if all are ejected. */
  public Set<PoolId> usable(Set<PoolId> candidates, long nowNanos) {
    if (failuresByPool.isEmpty()) {
      return candidates;
    }
    Set<PoolId> healthy =
        candidates.stream()
            .filter(
                pool ->
                    !failuresByPool.containsKey(pool) || failuresByPool.get(pool).usable(nowNanos))
            .collect(Collectors.toSet());
    return healthy.isEmpty() ? candidates : healthy;
  }

  /** Records that a call is sent to the pool. */
  public void recordChosen(PoolId pool, long nowNanos) {
    FailureState state = failuresByPool.get(pool);
    if (state != null) {
      state.recordChosen(nowNanos);
    }
  }

  /**
   * Records the result of a call.
   *
   * @param failed whether the response was a server error or no response was received
   */
  public void recordResult(PoolId pool, boolean failed, long nowNanos) {
    if (!failed && !failuresByPool.containsKey(pool)) {
      return;
    }
    FailureState state = failuresByPool.computeIfAbsent(pool, unused -> new FailureState());
    state.recordResult(failed, nowNanos);
    if (state.recovered()) {
      failuresByPool.remove(pool);
    }
  }

  /** The recent failures of a pool and its ejection. */
  private static final class FailureState {
    private static final double NEGLIGIBLE_FAILURE_RATIO = 0.01;

    private double failureRatio;
    private boolean ejected;
    private long ejectedUntilNanos;
    private long ejectionNanos = INITIAL_EJECTION_NANOS;

    private boolean usable(long nowNanos) {
      return !ejected || nowNanos - ejectedUntilNanos >= 0;
    }

    private boolean recovered() {
      return !ejected && failureRatio < NEGLIGIBLE_FAILURE_RATIO;
    }

    private void recordChosen(long nowNanos) {
      if (ejected) {
        ejectedUntilNanos = nowNanos + ejectionNanos;
      }
    }

    private void recordResult(boolean failed, long nowNanos) {
      failureRatio += EWMA_WEIGHT * ((failed ? 1 : 0) - failureRatio);
      if (!failed && ejected) {
        ejected = false;
        failureRatio = 0;
        ejectionNanos = INITIAL_EJECTION_NANOS;
        return;
      }
      if (failed && ejected && nowNanos - ejectedUntilNanos >= 0) {
        eject(nowNanos);
      }
      if (failed && !ejected && failureRatio >= EJECTION_FAILURE_RATIO) {
        ejected = true;
        eject(nowNanos);
      }
    }

    private void eject(long nowNanos) {
      ejectedUntilNanos = nowNanos + ejectionNanos;
      ejectionNanos = Math.min(MAX_EJECTION_NANOS, 2 * ejectionNanos);
    }
  }
}
