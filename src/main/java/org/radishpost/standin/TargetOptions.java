package org.radishpost.standin;

import java.time.Duration;

/**
 * The capacity, service times and warm-up behavior of a target stand-in.
 *
 * @param slots the number of calls that can run concurrently
 * @param maxQueued the maximum number of calls that wait for a slot; further calls are shed
 * @param maxConnections the maximum number of open connections; further ones are closed immediately
 * @param meanServiceTime the mean of the lognormal service time
 * @param serviceTimeSigma the standard deviation of the logarithm of the service time; 0 for a
 *     constant time
 * @param startWarm whether the first incarnation starts warm
 * @param coldCapacity the maximum number of running and waiting calls when the target is fully
 *     cold; a further call crashes it. The maximum grows as the target warms up
 * @param coldSlowdown the factor by which service times are longer when the target is fully cold
 * @param warmUpTime the time after a cold start until the target is warm, provided that {@code
 *     warmUpCalls} have run
 * @param warmUpCalls the number of calls after a cold start until the target is warm, provided that
 *     {@code warmUpTime} has passed
 * @param restartDelay the time from a crash to the restart
 * @param seed the seed of the random number generator
 */
public record TargetOptions(
    int slots,
    int maxQueued,
    int maxConnections,
    Duration meanServiceTime,
    double serviceTimeSigma,
    boolean startWarm,
    int coldCapacity,
    double coldSlowdown,
    Duration warmUpTime,
    int warmUpCalls,
    Duration restartDelay,
    long seed) {

  /** Returns the options of a target that starts warm. */
  public static TargetOptions warm(
      int slots, int maxConnections, Duration meanServiceTime, long seed) {
    return new TargetOptions(
        slots,
        4 * slots,
        maxConnections,
        meanServiceTime,
        0.5,
        true,
        2,
        4,
        Duration.ofSeconds(10),
        100,
        Duration.ofMillis(500),
        seed);
  }

  /** Returns a copy for a target that starts cold. */
  public TargetOptions cold() {
    return new TargetOptions(
        slots,
        maxQueued,
        maxConnections,
        meanServiceTime,
        serviceTimeSigma,
        false,
        coldCapacity,
        coldSlowdown,
        warmUpTime,
        warmUpCalls,
        restartDelay,
        seed);
  }
}
