package org.radishpost.claims;

import java.util.ArrayList;
import java.util.List;

/** A claim or an ending that waits for its record. */
final class ClaimWork implements Comparable<ClaimWork> {
  private final ClaimEntry entry;
  private final long deadlineNanos;
  private final List<Long> asks = new ArrayList<>(1);

  ClaimWork(long ask, ClaimEntry entry, long deadlineNanos) {
    this.entry = entry;
    this.deadlineNanos = deadlineNanos;
    asks.add(ask);
  }

  ClaimEntry entry() {
    return entry;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the numbers of all who wait for it. */
  List<Long> asks() {
    return asks;
  }

  void join(List<Long> others) {
    asks.addAll(others);
  }

  @Override
  public int compareTo(ClaimWork other) {
    return Long.compare(deadlineNanos, other.deadlineNanos);
  }
}
