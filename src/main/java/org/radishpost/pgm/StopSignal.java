package org.radishpost.pgm;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import sun.misc.Signal;

/**
 * Waits for the signals that ask a process to stop.
 *
 * <p>The first one begins a graceful shutdown; a second one ends the process at once.
 */
final class StopSignal {
  private static final int ENDED_AT_ONCE = 130;

  private final CountDownLatch first = new CountDownLatch(1);
  private final AtomicInteger seen = new AtomicInteger();

  private StopSignal() {}

  /** Starts to listen for SIGTERM and SIGINT. */
  static StopSignal listen() {
    StopSignal stop = new StopSignal();
    Signal.handle(new Signal("TERM"), signal -> stop.received());
    Signal.handle(new Signal("INT"), signal -> stop.received());
    return stop;
  }

  /** Waits for the first signal, then stops what runs. */
  void awaitAndStop(Mono<Void> stopping, Duration limit) {
    try {
      first.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stopping.block(limit);
  }

  /**
   * Waits for the first signal for a while.
   *
   * @return whether it has come
   */
  boolean await(Duration wait) {
    try {
      return first.await(wait.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  private void received() {
    if (seen.incrementAndGet() > 1) {
      Runtime.getRuntime().halt(ENDED_AT_ONCE);
    }
    first.countDown();
  }
}
