package org.radishpost.routing;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/** Random choice in proportion to a weight. */
final class WeightedRandom {
  private WeightedRandom() {}

  /** Returns one of the items; one without weight counts as having weight 1. */
  static <T> T pick(List<T> items, ToIntFunction<T> weight, RandomGenerator random) {
    long totalWeight = 0;
    for (T item : items) {
      totalWeight += Math.max(1, weight.applyAsInt(item));
    }
    long remainingWeight = random.nextLong(totalWeight);
    for (T item : items) {
      remainingWeight -= Math.max(1, weight.applyAsInt(item));
      if (remainingWeight < 0) {
        return item;
      }
    }
    throw new IllegalStateException("the draw lies below the total");
  }
}
