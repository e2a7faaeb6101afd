package org.radishpost.routing;

import org.radishpost.pool.PoolView;

/** What one VM believes of a pool; ages as the last view of it grows old. */
final class PoolEstimate {
  private static final double HALF_LIFE_NANOS = 200e6;

  private PoolView view;
  private long seenNanos;
  private int sentSinceSeen;
  private long avoidedUntilNanos;
  private boolean avoided;
  private boolean unreachable;

  void seen(PoolView latest, long nowNanos) {
    view = latest;
    seenNanos = nowNanos;
    sentSinceSeen = 0;
    avoided = avoided && !unreachable;
    unreachable = false;
  }

  void sent() {
    sentSinceSeen++;
  }

  void avoid(long untilNanos) {
    avoidedUntilNanos = avoided ? Math.max(avoidedUntilNanos, untilNanos) : untilNanos;
    avoided = true;
  }

  void unreachable(long untilNanos) {
    unreachable = true;
    avoid(untilNanos);
  }

  boolean isUnreachable() {
    return unreachable;
  }

  boolean isAvoided(long nowNanos) {
    avoided = avoided && nowNanos - avoidedUntilNanos < 0;
    return avoided;
  }

  /** Returns the mean time that a target takes, or {@code unknown} when no view has come. */
  long serviceNanos(long unknown) {
    return view == null ? unknown : view.serviceNanos();
  }

  boolean isKnown() {
    return view != null;
  }

  /** Returns the wait in the pool's queue that a call sent now may expect. */
  long waitNanos(long nowNanos) {
    if (view == null) {
      return 0;
    }
    int slots = Math.max(1, view.slots());
    int free = Math.max(0, slots - view.running() - view.queued());
    long ahead = Math.max(0, sentSinceSeen - free);
    double wait = view.waitNanos() + (double) ahead * view.serviceNanos() / slots;
    double age = Math.max(0, nowNanos - seenNanos);
    return (long) (wait * Math.pow(0.5, age / HALF_LIFE_NANOS));
  }
}
