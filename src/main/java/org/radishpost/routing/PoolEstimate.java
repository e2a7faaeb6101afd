package org.radishpost.routing;

import org.radishpost.pool.PoolView;

/**
 * The state of a pool as estimated by this VM; the estimated wait decays with the age of the view.
 */
final class PoolEstimate {
  private static final double WAIT_HALF_LIFE_NANOS = 200e6;

  private PoolView view;
  private long viewNanos;
  private int sentSinceView;
  private long avoidedUntilNanos;
  private boolean avoided;
  private boolean unreachable;

  void update(PoolView latest, long nowNanos) {
    view = latest;
    viewNanos = nowNanos;
    sentSinceView = 0;
    avoided = avoided && !unreachable;
    unreachable = false;
  }

  void recordSend() {
    sentSinceView++;
  }

  void avoid(long untilNanos) {
    avoidedUntilNanos = avoided ? Math.max(avoidedUntilNanos, untilNanos) : untilNanos;
    avoided = true;
  }

  void recordUnreachable(long untilNanos) {
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

  /** Returns the mean service time, or {@code defaultNanos} if no view has been received. */
  long serviceNanos(long defaultNanos) {
    return view == null ? defaultNanos : view.serviceNanos();
  }

  boolean hasView() {
    return view != null;
  }

  /** Returns the expected queue wait of a call sent now. */
  long waitNanos(long nowNanos) {
    if (view == null) {
      return 0;
    }
    int slots = Math.max(1, view.slots());
    int freeSlots = Math.max(0, slots - view.running() - view.queued());
    long callsAhead = Math.max(0, sentSinceView - freeSlots);
    double freshWaitNanos = view.waitNanos() + (double) callsAhead * view.serviceNanos() / slots;
    double ageNanos = Math.max(0, nowNanos - viewNanos);
    return (long) (freshWaitNanos * Math.pow(0.5, ageNanos / WAIT_HALF_LIFE_NANOS));
  }
}
