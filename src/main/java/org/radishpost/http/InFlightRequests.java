package org.radishpost.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Counts the requests that a server works on; thread-safe. */
public final class InFlightRequests {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

  private final AtomicInteger count = new AtomicInteger();

  /** Creates a counter at 0. */
  public InFlightRequests() {}

  /** Counts a request from its subscription until its answer is written or given up. */
  Publisher<Void> track(Publisher<Void> request) {
    return Mono.from(request)
        .doOnSubscribe(subscription -> count.incrementAndGet())
        .doFinally(signal -> count.decrementAndGet());
  }

  /** Returns the number of requests. */
  public int count() {
    return count.get();
  }

  /** Ends when there are no requests, or when the limit is over. */
  public Mono<Void> awaitIdle(Scheduler clock, Duration timeout) {
    return Flux.interval(Duration.ZERO, POLL_INTERVAL, clock)
        .filter(tick -> count.get() == 0)
        .next()
        .timeout(timeout, Mono.empty(), clock)
        .then();
  }
}
