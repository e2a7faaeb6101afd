package org.radishpost.placement;

/**
 * The load that a target reported.
 *
 * @param running the number of running calls
 * @param waiting the number of queued calls
 * @param slots the maximum number of calls that run at the same time
 * @param slowdownPercent the current service time as a percentage of the normal one: 100 is normal,
 *     200 is twice as long
 */
public record LoadSample(int running, int waiting, int slots, int slowdownPercent) {
  /** The slowdown of a target whose machine runs no other load. */
  public static final int NO_SLOWDOWN_PERCENT = 100;
}
