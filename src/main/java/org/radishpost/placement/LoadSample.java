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

  /**
   * Returns the load after one of the running calls has ended. The slot of the call is taken by a
   * queued call, if there is any.
   */
  public LoadSample afterOneCall() {
    if (waiting > 0) {
      return new LoadSample(running, waiting - 1, slots, slowdownPercent);
    }
    return new LoadSample(Math.max(0, running - 1), 0, slots, slowdownPercent);
  }
}
