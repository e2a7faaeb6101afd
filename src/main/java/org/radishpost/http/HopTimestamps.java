package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.radishpost.events.EventTimestamp;
import org.radishpost.events.HybridClock;

/** Carries stamps with hops, so that what follows a message is stamped later; thread-safe. */
final class HopTimestamps {
  private final HybridClock clock;

  HopTimestamps(HybridClock clock) {
    this.clock = clock;
  }

  /** Returns the field's value for a message that leaves now. */
  String next() {
    return clock.next().format();
  }

  /** Takes the stamp of a message and removes it; one of another form is left out. */
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
