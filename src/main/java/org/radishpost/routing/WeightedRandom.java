package org.radishpost.routing;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/** Weighted random choice. */
final class WeightedRandom {
  private WeightedRandom() {}

  /** Returns a random item; weights less than 1 count as 1. */
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
    throw new IllegalStateException("random value is not below the total weight");
  }
}
