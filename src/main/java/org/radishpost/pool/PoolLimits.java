package org.radishpost.pool;

/**
 * Bounds of one pool at its owner.
 *
 * @param queueCalls the most calls that wait
 * @param queueCallsPerSlot the most calls that wait for each slot that the targets have now
 * @param aheadFromCalls the waiting calls from which on a warm target gets one call more than it
 *     has slots; {@link #NEVER} for none
 */
public record PoolLimits(int queueCalls, int queueCallsPerSlot, int aheadFromCalls) {
  /** Turns the call ahead off. */
  public static final int NEVER = Integer.MAX_VALUE;

  /** The bounds that are used unless something else is set. */
  public static final PoolLimits DEFAULT = new PoolLimits(1_024, 4, 1);

  /** The bounds of an owner that sends no call ahead. */
  public static final PoolLimits NO_CALL_AHEAD = new PoolLimits(1_024, 4, NEVER);

  private static final int MIN_QUEUE_CALLS = 8;

  /** Returns the most calls that may wait while the targets have so many slots. */
  int boundFor(int slots) {
    return Math.min(queueCalls, Math.max(MIN_QUEUE_CALLS, queueCallsPerSlot * slots));
  }
}
