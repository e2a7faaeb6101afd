package org.radishpost.pool;

import org.radishpost.lib.CallInfo;

/** A call that was sent to a target and has not ended. */
final class InFlightCall {
  private final CallInfo call;
  private final TargetTracker target;
  private final long sentNanos;
  private long slotWaitNanos;

  InFlightCall(CallInfo call, TargetTracker target, long sentNanos) {
    this.call = call;
    this.target = target;
    this.sentNanos = sentNanos;
  }

  CallInfo call() {
    return call;
  }

  TargetTracker target() {
    return target;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Returns the time that the call waited at the target for a free slot. */
  long slotWaitNanos() {
    return slotWaitNanos;
  }

  void recordSlotAcquired(long nowNanos) {
    slotWaitNanos = nowNanos - sentNanos;
  }
}
