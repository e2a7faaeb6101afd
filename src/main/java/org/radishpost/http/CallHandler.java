package org.radishpost.http;

import reactor.core.publisher.Mono;

/** Runs the calls that come in at the edge. */
@FunctionalInterface
public interface CallHandler {
  /**
   * Runs a call.
   *
   * @param call the call
   * @return the answer for the caller, never an error; cancelling cancels the call
   */
  Mono<Response> handle(Call call);
}
