package org.radishpost.pgm;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGINT.
 *
 * <p>The first signal starts a graceful shutdown; a second one terminates the process immediately.
 */
final class StopSignal {
  private static final int FORCED_EXIT_CODE = 130;

  private final CountDownLatch firstReceived = new CountDownLatch(1);
  private final AtomicInteger receivedCount = new AtomicInteger();

  private StopSignal() {}

  /** Installs the signal handlers. */
  static StopSignal listen() {
    StopSignal stopSignal = new StopSignal();
    Signal.handle(new Signal("TERM"), signal -> stopSignal.onSignal());
    Signal.handle(new Signal("INT"), signal -> stopSignal.onSignal());
    return stopSignal;
  }

  /**
   * Waits for the first signal, then runs the shutdown.
   *
   * @throws IllegalStateException if the shutdown takes longer than the timeout
   */
  void awaitAndStop(Mono<Void> shutdown, Duration timeout) {
    try {
      firstReceived.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    shutdown.block(timeout);
  }

  /**
   * Waits for the first signal, at most for the given timeout.
   *
   * @return true if the signal was received or the thread was interrupted
   */
  boolean await(Duration timeout) {
    try {
      return firstReceived.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  private void onSignal() {
    if (receivedCount.incrementAndGet() > 1) {
      Runtime.getRuntime().halt(FORCED_EXIT_CODE);
    }
    firstReceived.countDown();
  }
}
