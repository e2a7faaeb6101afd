package org.radishpost.claims;

import java.util.ArrayList;
import java.util.List;

/** An entry that is not yet decided, with the requests that wait for it. */
final class PendingEntry implements Comparable<PendingEntry> {
  private final ClaimEntry entry;
  private final long deadlineNanos;
  private final List<Long> requestIds = new ArrayList<>(1);

  PendingEntry(long requestId, ClaimEntry entry, long deadlineNanos) {
    this.entry = entry;
    this.deadlineNanos = deadlineNanos;
    requestIds.add(requestId);
  }

  ClaimEntry entry() {
    return entry;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the IDs of all requests that wait for this entry. */
  List<Long> requestIds() {
    return requestIds;
  }

  void addRequestIds(List<Long> ids) {
    requestIds.addAll(ids);
  }

  @Override
  public int compareTo(PendingEntry other) {
    return Long.compare(deadlineNanos, other.deadlineNanos);
  }
}
