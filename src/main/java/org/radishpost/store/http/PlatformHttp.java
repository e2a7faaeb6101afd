package org.radishpost.store.http;

import java.io.IOException;
import java.net.ConnectException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** What both clients of the platform's HTTP binding need. */
final class PlatformHttp {
  static final int OK = 200;
  static final int MIN_CLIENT_ERROR = 400;
  static final int MIN_SERVER_ERROR = 500;
  static final int UNAVAILABLE = 503;

  private PlatformHttp() {}

  /** Returns a client that never sends a request twice. */
  static HttpClient client(ConnectionProvider connections, Endpoint server) {
    String host = server.ip().indexOf(':') >= 0 ? "[" + server.ip() + "]" : server.ip();
    return HttpClient.create(connections)
        .baseUrl("http://" + host + ":" + server.port())
        .disableRetry(true);
  }

  /** Tells whether the failure came before any byte of the request could leave. */
  static boolean isConnectFailure(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  /** Returns the whole body, or an {@link IOException} when it exceeds the bound. */
  static Mono<byte[]> body(ByteBufFlux content, int maxBytes) {
    return content
        .asByteArray()
        .reduceWith(() -> new BoundedBytes(maxBytes), BoundedBytes::add)
        .flatMap(BoundedBytes::result);
  }
}
