package org.radishpost.http;

import java.util.concurrent.atomic.LongAdder;

/** Counts responses that were not what a request waited for; thread-safe. */
public final class ResponseCounters {
  private final LongAdder skipped = new LongAdder();
  private final LongAdder cut = new LongAdder();

  /** Returns the number of responses that were dropped: no request waited for them. */
  public long skipped() {
    return skipped.sum();
  }

  /**
   * Returns the number of bodies without a length whose connection ended otherwise than by its
   * peer.
   */
  public long cut() {
    return cut.sum();
  }

  void countSkipped() {
    skipped.increment();
  }

  void countCut() {
    cut.increment();
  }
}
