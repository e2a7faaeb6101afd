package org.radishpost.standin;

import java.time.Duration;

/**
 * What a target stand-in is like.
 *
 * @param slots the calls that it runs at once
 * @param maxQueued the calls that wait for a slot; more are shed
 * @param maxConnections the open connections that it bears; more are closed at once
 * @param meanServiceTime the mean of the service time, lognormal
 * @param serviceTimeSigma the spread of the service time's logarithm; 0 for a constant time
 * @param startWarm whether the first incarnation is warm from the start
 * @param coldCapacity the calls, running and waiting, that it bears when fully cold; more make it
 *     crash; the bound grows with its warmth
 * @param coldSlowdown how many times slower it is when fully cold
 * @param warmUpTime the time after which it is warm, if it gets its calls too
 * @param warmUpCalls the calls after which it is warm, if it gets its time too
 * @param restartDelay how long it is away after a crash
 * @param seed the seed of its random numbers
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

  /** Returns a warm target with the given slots, connections and mean service time. */
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

  /** Returns the same target, but cold at the start. */
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
