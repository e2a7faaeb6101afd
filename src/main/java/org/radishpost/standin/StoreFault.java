package org.radishpost.standin;

import java.time.Duration;

/** A fault of the stand-in for the platform's store. */
public sealed interface StoreFault {
  /** No fault. */
  record None() implements StoreFault {}

  /**
   * Each request fails with an HTTP status.
   *
   * @param status the HTTP status
   */
  record ErrorResponse(int status) implements StoreFault {}

  /** No request receives a response. */
  record NoResponse() implements StoreFault {}

  /**
   * Each response is delayed.
   *
   * @param delay the additional delay
   */
  record DelayedResponse(Duration delay) implements StoreFault {}

  /** Each request closes its connection without a response. */
  record ClosedConnection() implements StoreFault {}
}
