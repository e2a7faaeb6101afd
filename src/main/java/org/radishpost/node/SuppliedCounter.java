package org.radishpost.node;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Metric;
import java.util.function.LongSupplier;

/**
 * A count that something else keeps and that only grows.
 *
 * @param source returns the count now
 */
record SuppliedCounter(LongSupplier source) implements Metric, Counting {
  @Override
  public long getCount() {
    return source.getAsLong();
  }
}
