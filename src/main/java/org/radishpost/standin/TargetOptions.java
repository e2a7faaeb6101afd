package org.radishpost.standin;

import java.time.Duration;

/**
 * What a target stand-in is like.
 *
 * @param slots the calls that it runs at once
 * @param queue the calls that wait for a slot; more are shed
 * @param connections the open connections that it bears; more are closed at once
 * @param meanService the mean of the service time, lognormal
 * @param sigma the spread of the service time's logarithm; 0 for a constant time
 * @param startWarm whether the first incarnation is warm from the start
 * @param coldCalls the calls, running and waiting, that it bears when fully cold; more make it
 *     crash; the bound grows with its warmth
 * @param coldFactor how many times slower it is when fully cold
 * @param warmTime the time after which it is warm, if it gets its calls too
 * @param warmCalls the calls after which it is warm, if it gets its time too
 * @param restart how long it is away after a crash
 * @param seed the seed of its random numbers
 */
public record TargetOptions(
    int slots,
    int queue,
    int connections,
    Duration meanService,
    double sigma,
    boolean startWarm,
    int coldCalls,
    double coldFactor,
    Duration warmTime,
    int warmCalls,
    Duration restart,
    long seed) {

  /** Returns a warm target with the given slots, connections and mean service time. */
  public static TargetOptions warm(int slots, int connections, Duration meanService, long seed) {
    return new TargetOptions(
        slots,
        4 * slots,
        connections,
        meanService,
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
        queue,
        connections,
        meanService,
        sigma,
        false,
        coldCalls,
        coldFactor,
        warmTime,
        warmCalls,
        restart,
        seed);
  }
}
