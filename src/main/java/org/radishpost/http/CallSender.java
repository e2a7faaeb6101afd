package org.radishpost.http;

import java.time.Duration;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends calls to addresses, each once; thread-safe. */
public interface CallSender {
  /**
   * Sends a call.
   *
   * @param address where to
   * @param head the head; its fields are sent as they are
   * @param body the body
   * @param timeout the longest wait for the head of the answer
   * @return the answer; or {@link org.radishpost.errors.NotConnectedException} if no byte was sent;
   *     or {@link org.radishpost.errors.ConnectionLostException}, {@link
   *     org.radishpost.errors.ResponseTimeoutException} or {@link
   *     org.radishpost.errors.TruncatedResponseException}. Cancelling closes the connection.
   */
  Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration timeout);

  /** Closes all idle connections to the address; running calls go on. */
  void closeIdle(Endpoint address);

  /** Emits an address when the last connection to it was closed, from either end. */
  Flux<Endpoint> closedAddresses();
}
