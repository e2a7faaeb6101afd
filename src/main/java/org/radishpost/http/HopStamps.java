package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.radishpost.events.EventTimestamp;
import org.radishpost.events.HybridClock;

/** Carries stamps with hops, so that what follows a message is stamped later; thread-safe. */
final class HopStamps {
  private final HybridClock stamps;

  HopStamps(HybridClock stamps) {
    this.stamps = stamps;
  }

  /** Returns the field's value for a message that leaves now. */
  String next() {
    return stamps.next().format();
  }

  /** Takes the stamp of a message and removes it; one of another form is left out. */
  void take(HttpHeaders headers) {
    String text = headers.get(HeaderNames.HOP_STAMP);
    headers.remove(HeaderNames.HOP_STAMP);
    if (text == null) {
      return;
    }
    try {
      stamps.merge(EventTimestamp.parse(text));
    } catch (IllegalArgumentException e) {
      return;
    }
  }
}
