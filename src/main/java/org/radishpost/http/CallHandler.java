package org.radishpost.http;

import reactor.core.publisher.Mono;

/** Processes the calls that arrive at the edge. */
@FunctionalInterface
public interface CallHandler {
  /**
   * Processes a call.
   *
   * @param call the call
   * @return the response for the caller; never fails. Cancelling it cancels the call.
   */
  Mono<Response> handle(Call call);
}
