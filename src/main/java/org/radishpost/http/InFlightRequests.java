package org.radishpost.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Counts the requests that a server is processing. Thread-safe. */
public final class InFlightRequests {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

  private final AtomicInteger count = new AtomicInteger();

  /** Creates a counter with the value 0. */
  public InFlightRequests() {}

  /**
   * Counts a request from its subscription until its response is written or the request is
   * cancelled.
   */
  Publisher<Void> track(Publisher<Void> request) {
    return Mono.from(request)
        .doOnSubscribe(subscription -> count.incrementAndGet())
        .doFinally(signal -> count.decrementAndGet());
  }

  /** Returns the number of requests being processed. */
  public int count() {
    return count.get();
  }

  /** Completes when no requests are being processed, or after the timeout. */
  public Mono<Void> awaitIdle(Scheduler clock, Duration timeout) {
    return Flux.interval(Duration.ZERO, POLL_INTERVAL, clock)
        .filter(tick -> count.get() == 0)
        .next()
        .timeout(timeout, Mono.empty(), clock)
        .then();
  }
}
