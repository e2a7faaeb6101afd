package org.radishpost.direct;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.http.Response;
import org.radishpost.placement.Target;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * A target with two slots, a short queue and a machine that it shares with others. A load probe
 * waits for a slot and occupies it, as a call does.
 */
final class SimulatedTarget {
  private static final int SLOTS = 2;
  private static final int MAX_WAITING_CALLS = 4;
  private static final double SLOWED_DOWN_SHARE = 0.25;
  private static final int SLOWED_DOWN_PERCENT = 400;
  private static final int NORMAL_PERCENT = 100;
  private static final double FULL_SLOWDOWN_FACTOR = 1.7;
  private static final long SLOWDOWN_PERIOD_MILLIS = 300;

  private final Target target;
  private final Scheduler clock;
  private final RandomGenerator random;
  private final double probeMillis;
  private final Deque<Job> queue = new ArrayDeque<>();
  private int running;
  private int waitingCalls;
  private int probeCount;
  private long slowdownPeriod = -1;
  private int slowdownPercent = NORMAL_PERCENT;
  private int periods;
  private long slowdownPercentSum;

  /**
   * Creates an idle target.
   *
   * @param target its registry entry
   * @param probeMillis how long a probe occupies a slot
   * @param clock provides time and timers
   * @param random selects the periods of slowdown
   */
  SimulatedTarget(Target target, double probeMillis, Scheduler clock, RandomGenerator random) {
    this.target = target;
    this.probeMillis = probeMillis;
    this.clock = clock;
    this.random = random;
  }

  Target target() {
    return target;
  }

  /**
   * Returns the number of calls per second that the target can serve with both slots always in use,
   * at the mean slowdown that it had.
   *
   * @param workMillis the mean time of a call without slowdown
   */
  double capacity(double workMillis) {
    double meanSlowdown = (double) slowdownPercentSum / periods / NORMAL_PERCENT;
    return SLOTS * 1000 / (workMillis * FULL_SLOWDOWN_FACTOR * meanSlowdown);
  }

  /** Returns the number of probes received. */
  int probeCount() {
    return probeCount;
  }

  /** Processes a probe and returns its response. */
  Mono<Response> probe() {
    return Mono.defer(
        () -> {
          probeCount++;
          return submit(new Job(probeMillis, false));
        });
  }

  /** Processes a call that takes the given time without slowdown, or rejects it when full. */
  Mono<Response> call(double workMillis) {
    return Mono.defer(
        () -> {
          if (waitingCalls >= MAX_WAITING_CALLS) {
            return Mono.just(FakeTargets.response(503, "not-run", "1", "load", load()));
          }
          return submit(new Job(workMillis, true));
        });
  }

  private Mono<Response> submit(Job job) {
    queue.add(job);
    waitingCalls += job.call ? 1 : 0;
    startWaiting();
    return job.response.asMono();
  }

  private void startWaiting() {
    while (running < SLOTS && !queue.isEmpty()) {
      Job job = queue.poll();
      waitingCalls -= job.call ? 1 : 0;
      running++;
      double factor = running == SLOTS ? FULL_SLOWDOWN_FACTOR : 1;
      long micros = (long) (job.workMillis * 1000 * factor * slowdownPercent() / NORMAL_PERCENT);
      clock.schedule(() -> finish(job), micros, TimeUnit.MICROSECONDS);
    }
  }

  /** A response to a call reports a load that counts this call; one to a probe doesn't. */
  private void finish(Job job) {
    String loadWithCall = load();
    running--;
    startWaiting();
    String load = job.call ? loadWithCall : load();
    job.response.tryEmitValue(FakeTargets.response(200, "proof", "1", "load", load));
  }

  private String load() {
    return running + "," + queue.size() + "," + SLOTS + "," + slowdownPercent();
  }

  private int slowdownPercent() {
    long period = clock.now(TimeUnit.MILLISECONDS) / SLOWDOWN_PERIOD_MILLIS;
    if (period != slowdownPeriod) {
      slowdownPeriod = period;
      boolean slowedDown = random.nextDouble() < SLOWED_DOWN_SHARE;
      slowdownPercent = slowedDown ? SLOWED_DOWN_PERCENT : NORMAL_PERCENT;
      periods++;
      slowdownPercentSum += slowdownPercent;
    }
    return slowdownPercent;
  }

  /** A call or a probe. */
  private static final class Job {
    private final double workMillis;
    private final boolean call;
    private final Sinks.One<Response> response = Sinks.one();

    private Job(double workMillis, boolean call) {
      this.workMillis = workMillis;
      this.call = call;
    }
  }

  /** Returns the round-trip time between two places of the simulation. */
  static Duration roundTrip(boolean sameRegion) {
    return sameRegion ? Duration.ofMillis(1) : Duration.ofMillis(16);
  }
}
