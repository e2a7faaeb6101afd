package org.radishpost.node;

import java.util.concurrent.TimeUnit;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.Response;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Counts callers' calls and times them to the head of the answer; thread-safe.
 *
 * @param handler who runs the calls
 * @param metrics where they are counted
 * @param clock the clock
 */
record MeteredCalls(CallHandler handler, NodeMetrics metrics, Scheduler clock)
    implements CallHandler {
  @Override
  public Mono<Response> handle(Call call) {
    long startNanos = clock.now(TimeUnit.NANOSECONDS);
    return handler
        .handle(call)
        .doOnNext(reply -> metrics.recordCall(reply, clock.now(TimeUnit.NANOSECONDS) - startNanos));
  }
}
