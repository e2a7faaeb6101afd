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
  record Refusing(int status) implements StoreFault {}

  /** Calls are carried out, and no answer comes. */
  record Silent() implements StoreFault {}

  /**
   * Answers take longer.
   *
   * @param delay how much longer
   */
  record Slow(Duration delay) implements StoreFault {}

  /** Each connection is closed in place of an answer. */
  record Closing() implements StoreFault {}
}
