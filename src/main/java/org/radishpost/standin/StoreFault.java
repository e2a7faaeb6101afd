package org.radishpost.standin;

import java.time.Duration;

/** What is wrong with a stand-in of the platform's store. */
public sealed interface StoreFault {
  /** Nothing is wrong. */
  record None() implements StoreFault {}

  /**
   * Each call is refused.
   *
   * @param status the status of the refusal
   */
  record ErrorResponse(int status) implements StoreFault {}

  /** Calls are carried out, and no answer comes. */
  record NoResponse() implements StoreFault {}

  /**
   * Answers take longer.
   *
   * @param delay how much longer
   */
  record DelayedResponse(Duration delay) implements StoreFault {}

  /** Each connection is closed in place of an answer. */
  record ClosedConnection() implements StoreFault {}
}
