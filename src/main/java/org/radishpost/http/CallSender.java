package org.radishpost.http;

import java.time.Duration;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends each call once to a given address. Thread-safe. */
public interface CallSender {
  /**
   * Sends a call.
   *
   * @param address the address to send it to
   * @param head the request head; its fields are sent unchanged
   * @param body the request body
   * @param timeout the maximum time to wait for the head of the response
   * @return the response; fails with {@link org.radishpost.errors.NotConnectedException} if no byte
   *     was sent, or else with {@link org.radishpost.errors.ConnectionLostException}, {@link
   *     org.radishpost.errors.ResponseTimeoutException} or {@link
   *     org.radishpost.errors.UnframedResponseException}. Cancelling it closes the connection.
   */
  Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration timeout);

  /**
   * Sends a call like {@link #send(Endpoint, RequestHead, CallBody, Duration)} and records what is
   * observed of its connection.
   *
   * @param exchange receives the observations; stays empty if this sender makes none
   */
  default Mono<Response> send(
      Endpoint address, RequestHead head, CallBody body, Duration timeout, Exchange exchange) {
    return send(address, head, body, timeout);
  }

  /** Closes all idle connections to the address. Running calls continue. */
  void closeIdle(Endpoint address);

  /** Emits an address when the last connection to it has been closed by either end. */
  Flux<Endpoint> closedAddresses();
}
