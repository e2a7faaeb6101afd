package org.radishpost.bench;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.bench.LoadPlan.KindPlan;
import org.radishpost.lib.Endpoint;

/**
 * Generates the arrivals of a plan as a Poisson process. The same plan yields the same arrivals.
 *
 * <p>Not thread-safe.
 */
final class ArrivalGenerator {
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadPlan plan;
  private final SplittableRandom random;
  private final List<List<Endpoint>> entries;
  private final int[] nextEntryIndexes;
  private final double totalShare;
  private final long endNanos;
  private double lastOffsetNanos;

  ArrivalGenerator(LoadPlan plan) {
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed());
    this.entries = plan.kinds().stream().map(plan::entriesOf).toList();
    this.nextEntryIndexes = new int[entries.size()];
    this.totalShare = plan.kinds().stream().mapToDouble(KindPlan::share).sum();
    this.endNanos = TimeUnit.MILLISECONDS.toNanos(plan.totalMillis());
  }

  /** Returns the next arrival, or empty after the last one. */
  Optional<Arrival> next() {
    double gapSeconds = -Math.log(1 - random.nextDouble()) / plan.callsPerSecond();
    lastOffsetNanos += gapSeconds * NANOS_PER_SECOND;
    if (lastOffsetNanos >= endNanos) {
      return Optional.empty();
    }
    int kindIndex = drawKindIndex();
    return Optional.of(
        new Arrival((long) lastOffsetNanos, kindIndex, selectEntry(kindIndex), random.nextLong()));
  }

  private int drawKindIndex() {
    double remainingShare = random.nextDouble() * totalShare;
    int kindIndex = 0;
    while (kindIndex < entries.size() - 1
        && remainingShare >= plan.kinds().get(kindIndex).share()) {
      remainingShare -= plan.kinds().get(kindIndex).share();
      kindIndex++;
    }
    return kindIndex;
  }

  private Endpoint selectEntry(int kindIndex) {
    List<Endpoint> candidates = entries.get(kindIndex);
    int index =
        switch (plan.spread()) {
          case IN_TURN -> Math.floorMod(nextEntryIndexes[kindIndex]++, candidates.size());
          case RANDOM -> random.nextInt(candidates.size());
        };
    return candidates.get(index);
  }
}
