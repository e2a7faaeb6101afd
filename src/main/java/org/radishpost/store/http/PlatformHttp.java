package org.radishpost.store.http;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Optional;
import org.radishpost.http.ResponseCounters;
import org.radishpost.http.ResponseHandlers;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Functions shared by the clients of the platform's HTTP API. */
final class PlatformHttp {
  static final int OK = 200;
  static final int MIN_CLIENT_ERROR = 400;
  static final int MIN_SERVER_ERROR = 500;
  static final int UNAVAILABLE = 503;

  private PlatformHttp() {}

  /**
   * Returns a client that never retries a request and never reuses a connection. Responses do not
   * name their requests, so a late one on a reused connection could be taken for that of another.
   */
  static HttpClient client(ConnectionProvider connections, Endpoint server) {
    String host = server.ip().indexOf(':') >= 0 ? "[" + server.ip() + "]" : server.ip();
    return ResponseHandlers.protect(
            HttpClient.create(connections), Optional.empty(), new ResponseCounters())
        .baseUrl("http://" + host + ":" + server.port())
        .keepAlive(false)
        .doOnRequest((request, connection) -> connection.markPersistent(false))
        .disableRetry(true);
  }

  /**
   * Returns whether no connection could be established, so that no byte of the request was sent.
   */
  static boolean isConnectFailure(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  /** Returns the complete body, or fails with an {@link IOException} if it exceeds the limit. */
  static Mono<byte[]> body(ByteBufFlux content, int maxBytes) {
    return content
        .asByteArray()
        .reduceWith(() -> new BoundedBytes(maxBytes), BoundedBytes::add)
        .flatMap(BoundedBytes::result);
  }
}
