package org.radishpost.pool;

import java.util.Arrays;

/** Counts the calls sent within the last second, rounded up to whole buckets of 50 ms. */
final class SendRateCounter {
  private static final int BUCKETS = 21;
  private static final long BUCKET_NANOS = 50_000_000L;

  private final int[] countsByBucket = new int[BUCKETS];
  private long newestBucket = Long.MIN_VALUE;
  private int total;

  void add(long nowNanos) {
    advance(nowNanos);
    countsByBucket[Math.floorMod(newestBucket, BUCKETS)]++;
    total++;
  }

  int count(long nowNanos) {
    advance(nowNanos);
    return total;
  }

  /** Resets the count to 0. */
  void reset() {
    Arrays.fill(countsByBucket, 0);
    total = 0;
  }

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= BUCKETS) {
      Arrays.fill(countsByBucket, 0);
      total = 0;
      newestBucket = bucket;
      return;
    }
    while (newestBucket < bucket) {
      newestBucket++;
      int index = Math.floorMod(newestBucket, BUCKETS);
      total -= countsByBucket[index];
      countsByBucket[index] = 0;
    }
  }
}
