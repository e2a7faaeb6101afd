package org.radishpost.routing;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/** Random choice in proportion to a weight. */
final class WeightedPick {
  private WeightedPick() {}

  /** Returns one of the items; one without weight counts as having weight 1. */
  static <T> T pick(List<T> items, ToIntFunction<T> weight, RandomGenerator random) {
    long total = 0;
    for (T item : items) {
      total += Math.max(1, weight.applyAsInt(item));
    }
    long drawn = random.nextLong(total);
    for (T item : items) {
      drawn -= Math.max(1, weight.applyAsInt(item));
      if (drawn < 0) {
        return item;
      }
    }
    throw new IllegalStateException("the draw lies below the total");
  }
}
