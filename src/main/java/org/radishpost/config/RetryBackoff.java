package org.radishpost.config;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with random jitter and a maximum pause; not thread-safe. */
final class RetryBackoff {
  private final Duration first;
  private final Duration max;
  private final RandomGenerator random;
  private Duration next;

  RetryBackoff(Duration first, Duration max, RandomGenerator random) {
    this.first = first;
    this.max = max;
    this.random = random;
    this.next = first;
  }

  /** Returns the pause after another failure, and doubles the next one up to the maximum. */
  Duration nextPause() {
    Duration pause = next;
    next = next.multipliedBy(2).compareTo(max) < 0 ? next.multipliedBy(2) : max;
    return Duration.ofNanos(random.nextLong(pause.toNanos() / 2, pause.toNanos() + 1));
  }

  /** Resets the next pause to the first one; call this after a success. */
  void reset() {
    next = first;
  }
}
