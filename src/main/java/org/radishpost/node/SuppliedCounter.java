package org.radishpost.node;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Metric;
import java.util.function.LongSupplier;

/**
 * A counter metric whose value is read from a supplier.
 *
 * @param source returns the current count, which never decreases
 */
record SuppliedCounter(LongSupplier source) implements Metric, Counting {
  @Override
  public long getCount() {
    return source.getAsLong();
  }
}
