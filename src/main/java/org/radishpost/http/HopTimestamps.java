package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.radishpost.events.EventTimestamp;
import org.radishpost.events.HybridClock;

/**
 * Exchanges hybrid clock timestamps in hop requests and responses, which keeps event timelines in
 * causal order. Thread-safe.
 */
final class HopTimestamps {
  private final HybridClock clock;

  HopTimestamps(HybridClock clock) {
    this.clock = clock;
  }

  /** Returns the field value for a message that is sent now. */
  String next() {
    return clock.next().format();
  }

  /**
   * Merges the timestamp of a message into the clock and removes the field. A malformed timestamp
   * is ignored.
   */
  void mergeAndRemove(HttpHeaders headers) {
    String text = headers.get(HeaderNames.HOP_STAMP);
    headers.remove(HeaderNames.HOP_STAMP);
    if (text == null) {
      return;
    }
    try {
      clock.merge(EventTimestamp.parse(text));
    } catch (IllegalArgumentException e) {
      return;
    }
  }
}
