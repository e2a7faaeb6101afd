package org.radishpost.pool;

import org.radishpost.lib.CallFacts;

/** A call that was sent to a target and has not ended. */
final class SentCall {
  private final CallFacts call;
  private final TargetTracker target;
  private final long sentNanos;
  private long waitedNanos;

  SentCall(CallFacts call, TargetTracker target, long sentNanos) {
    this.call = call;
    this.target = target;
    this.sentNanos = sentNanos;
  }

  CallFacts call() {
    return call;
  }

  TargetTracker target() {
    return target;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Returns the time that it waited at the target for a slot. */
  long waitedNanos() {
    return waitedNanos;
  }

  void gotSlot(long nowNanos) {
    waitedNanos = nowNanos - sentNanos;
  }
}
