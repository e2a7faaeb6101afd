package org.radishpost.node;

import java.util.concurrent.TimeUnit;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.Response;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Counts calls from callers and times them up to the head of the response; thread-safe.
 *
 * @param handler runs the calls
 * @param metrics records the outcomes and times
 * @param clock provides the time
 */
record MeteredCalls(CallHandler handler, NodeMetrics metrics, Scheduler clock)
    implements CallHandler {
  @Override
  public Mono<Response> handle(Call call) {
    long startNanos = clock.now(TimeUnit.NANOSECONDS);
    return handler
        .handle(call)
        .doOnNext(
            response -> metrics.recordCall(response, clock.now(TimeUnit.NANOSECONDS) - startNanos));
  }
}
