package org.radishpost.pool;

/**
 * Bounds of one pool at its owner.
 *
 * @param queueCalls the most calls that wait
 * @param aheadFromCalls the waiting calls from which on a warm target gets one call more than it
 *     has slots; {@link #NEVER} for none
 */
public record PoolLimits(int queueCalls, int aheadFromCalls) {
  /** Turns the call ahead off. */
  public static final int NEVER = Integer.MAX_VALUE;

  /** The bounds that are used unless something else is set. */
  public static final PoolLimits DEFAULT = new PoolLimits(512, 1);
}
