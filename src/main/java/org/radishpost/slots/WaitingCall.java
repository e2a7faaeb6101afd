package org.radishpost.slots;

/**
 * A request that waits for a slot. Times are in nanoseconds on the monotonic clock of the broker.
 *
 * @param link the connection to the VM that sent the request
 * @param request the request
 * @param respondByNanos the time until which a response is in time
 * @param waitUntilNanos when the request is refused
 * @param expiryNanos when the lease of an offered slot ends
 */
record WaitingCall(
    SlotLink link,
    SlotMessage.Request request,
    long respondByNanos,
    long waitUntilNanos,
    long expiryNanos) {
  static WaitingCall of(SlotLink link, SlotMessage.Request request, long nowNanos) {
    return new WaitingCall(
        link,
        request,
        nowNanos + request.respondWithin().toNanos(),
        nowNanos + request.maxWait().toNanos(),
        nowNanos + request.lifetime().toNanos());
  }

  /** Returns the remaining time in which a response is in time; may be negative. */
  long remainingNanos(long nowNanos) {
    return respondByNanos - nowNanos;
  }

  RequestKey key() {
    return new RequestKey(link, request.id());
  }
}
