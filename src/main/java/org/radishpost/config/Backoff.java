package org.radishpost.config;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Pauses that double with each failure, up to a bound, and vary at random; not thread-safe. */
final class Backoff {
  private final Duration first;
  private final Duration most;
  private final RandomGenerator random;
  private Duration next;

  Backoff(Duration first, Duration most, RandomGenerator random) {
    this.first = first;
    this.most = most;
    this.random = random;
    this.next = first;
  }

  /** Returns the pause after one more failure. */
  Duration failed() {
    Duration pause = next;
    next = next.multipliedBy(2).compareTo(most) < 0 ? next.multipliedBy(2) : most;
    return Duration.ofNanos(random.nextLong(pause.toNanos() / 2, pause.toNanos() + 1));
  }

  /** Starts again with the first pause. */
  void succeeded() {
    next = first;
  }
}
