package org.radishpost.pool;

/**
 * Limits of one pool at its owner.
 *
 * @param maxQueuedCalls the maximum number of queued calls
 * @param maxQueuedCallsPerSlot the maximum number of queued calls per available slot of the targets
 * @param extraCallMinQueued the number of queued calls from which a warm target receives one call
 *     more than it has slots, or {@link #NEVER} to send no extra calls
 */
public record PoolLimits(int maxQueuedCalls, int maxQueuedCallsPerSlot, int extraCallMinQueued) {
  /** Value of {@code extraCallMinQueued} that disables extra calls. */
  public static final int NEVER = Integer.MAX_VALUE;

  /** The default limits. */
  public static final PoolLimits DEFAULT = new PoolLimits(1_024, 4, 1);

  /** The default limits with extra calls disabled. */
  public static final PoolLimits WITHOUT_EXTRA_CALL = new PoolLimits(1_024, 4, NEVER);

  private static final int MIN_QUEUE_BOUND_CALLS = 8;

  /** Returns the maximum number of queued calls while the targets have {@code slots} slots. */
  int maxQueuedCallsFor(int slots) {
    return Math.min(maxQueuedCalls, Math.max(MIN_QUEUE_BOUND_CALLS, maxQueuedCallsPerSlot * slots));
  }
}
