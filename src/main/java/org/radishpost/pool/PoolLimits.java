package org.radishpost.pool;

/**
 * Bounds of one pool at its owner.
 *
 * @param maxQueuedCalls the most calls that wait
 * @param maxQueuedCallsPerSlot the most calls that wait for each slot that the targets have now
 * @param extraCallMinQueued the waiting calls from which on a warm target gets one call more than
 *     it has slots; {@link #NEVER} for none
 */
public record PoolLimits(int maxQueuedCalls, int maxQueuedCallsPerSlot, int extraCallMinQueued) {
  /** Turns the call ahead off. */
  public static final int NEVER = Integer.MAX_VALUE;

  /** The bounds that are used unless something else is set. */
  public static final PoolLimits DEFAULT = new PoolLimits(1_024, 4, 1);

  /** The bounds of an owner that sends no call ahead. */
  public static final PoolLimits WITHOUT_EXTRA_CALL = new PoolLimits(1_024, 4, NEVER);

  private static final int MIN_QUEUE_BOUND_CALLS = 8;

  /** Returns the most calls that may wait while the targets have so many slots. */
  int maxQueuedCallsFor(int slots) {
    return Math.min(maxQueuedCalls, Math.max(MIN_QUEUE_BOUND_CALLS, maxQueuedCallsPerSlot * slots));
  }
}
