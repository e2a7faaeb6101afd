package org.radishpost.bench;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.bench.LoadPlan.KindPlan;
import org.radishpost.lib.Endpoint;

/**
 * The arrivals of a plan, a Poisson process: the same plan gives the same arrivals.
 *
 * <p>One thread at a time.
 */
final class Arrivals {
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadPlan plan;
  private final SplittableRandom random;
  private final List<List<Endpoint>> entries;
  private final int[] turns;
  private final double shares;
  private final long endNanos;
  private double atNanos;

  Arrivals(LoadPlan plan) {
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed());
    this.entries = plan.kinds().stream().map(plan::entriesOf).toList();
    this.turns = new int[entries.size()];
    this.shares = plan.kinds().stream().mapToDouble(KindPlan::share).sum();
    this.endNanos = TimeUnit.MILLISECONDS.toNanos(plan.totalMillis());
  }

  /** Returns the next arrival, empty after the last one. */
  Optional<Arrival> next() {
    double gap = -Math.log(1 - random.nextDouble()) / plan.callsPerSecond();
    atNanos += gap * NANOS_PER_SECOND;
    if (atNanos >= endNanos) {
      return Optional.empty();
    }
    int kind = kind();
    return Optional.of(new Arrival((long) atNanos, kind, entry(kind), random.nextLong()));
  }

  private int kind() {
    double drawn = random.nextDouble() * shares;
    int kind = 0;
    while (kind < entries.size() - 1 && drawn >= plan.kinds().get(kind).share()) {
      drawn -= plan.kinds().get(kind).share();
      kind++;
    }
    return kind;
  }

  private Endpoint entry(int kind) {
    List<Endpoint> choice = entries.get(kind);
    int index =
        switch (plan.spread()) {
          case IN_TURN -> Math.floorMod(turns[kind]++, choice.size());
          case RANDOM -> random.nextInt(choice.size());
        };
    return choice.get(index);
  }
}
