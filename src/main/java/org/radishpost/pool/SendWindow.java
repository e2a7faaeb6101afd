package org.radishpost.pool;

import java.util.Arrays;

/** Counts the calls sent within the last second, rounded up to whole buckets. */
final class SendWindow {
  private static final int BUCKETS = 21;
  private static final long BUCKET_NANOS = 50_000_000L;

  private final int[] sent = new int[BUCKETS];
  private long newest = Long.MIN_VALUE;
  private int total;

  void add(long nowNanos) {
    advance(nowNanos);
    sent[Math.floorMod(newest, BUCKETS)]++;
    total++;
  }

  int count(long nowNanos) {
    advance(nowNanos);
    return total;
  }

  /** Starts to count anew. */
  void reset() {
    Arrays.fill(sent, 0);
    total = 0;
  }

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
    if (newest == Long.MIN_VALUE || bucket - newest >= BUCKETS) {
      Arrays.fill(sent, 0);
      total = 0;
      newest = bucket;
      return;
    }
    while (newest < bucket) {
      newest++;
      int index = Math.floorMod(newest, BUCKETS);
      total -= sent[index];
      sent[index] = 0;
    }
  }
}
