package org.radishpost.placement;

/**
 * What a target said of its load.
 *
 * @param running the calls that it runs
 * @param waiting the calls in its queue
 * @param slots the calls that it can run at once
 * @param slowdownPercent how long work takes there now; 100 is usual, 200 twice as long
 */
public record LoadSample(int running, int waiting, int slots, int slowdownPercent) {
  /** The pace of a machine that nobody else uses. */
  public static final int NO_SLOWDOWN_PERCENT = 100;
}
