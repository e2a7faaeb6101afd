package org.radishpost.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallSender;
import org.radishpost.http.Exchange;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Counts the calls and load probes that are sent to targets, and times the calls; thread-safe.
 *
 * @param sender sends the calls and probes
 * @param metrics records the counts and times
 * @param deadlineField the header field that calls carry and probes don't
 * @param clock provides the time
 */
record MeteredSender(CallSender sender, NodeMetrics metrics, String deadlineField, Scheduler clock)
    implements CallSender {
  @Override
  public Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration limit) {
    return send(address, head, body, limit, new Exchange());
  }

  @Override
  public Mono<Response> send(
      Endpoint address, RequestHead head, CallBody body, Duration limit, Exchange exchange) {
    boolean probe = !head.headers().contains(deadlineField);
    metrics.countSend(probe);
    Mono<Response> result = sender.send(address, head, body, limit, exchange);
    if (probe) {
      return result;
    }
    long startNanos = clock.now(TimeUnit.NANOSECONDS);
    return result.doOnNext(
        response -> metrics.recordTargetResponse(clock.now(TimeUnit.NANOSECONDS) - startNanos));
  }

  @Override
  public void closeIdle(Endpoint address) {
    sender.closeIdle(address);
  }

  @Override
  public Flux<Endpoint> closedAddresses() {
    return sender.closedAddresses();
  }
}
