package org.radishpost.node;

import org.radishpost.errors.RadishpostException;
import org.radishpost.http.Call;

/** Decides whether a call that was lost is sent again. */
final class Retries {
  /** Takes note of an answer, which allows a part of a retry. */
  void succeeded() {}

  /** Tells whether the call may be sent once more. */
  boolean allow(Call call, RadishpostException cause, long nowNanos) {
    return call.facts().idempotent()
        && call.retriesLeft() > 0
        && nowNanos < call.facts().deadlineNanos();
  }

  /** Returns the call with one retry less. */
  Call spend(Call call) {
    return new Call(
        call.facts(),
        call.match(),
        call.head(),
        call.body(),
        call.idempotencyKey(),
        call.retriesLeft() - 1);
  }
}
