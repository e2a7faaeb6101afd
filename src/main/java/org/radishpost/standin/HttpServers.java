package org.radishpost.standin;

import java.time.Duration;
import java.util.function.Consumer;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/** Starts and stops the HTTP servers of the stand-ins. */
final class HttpServers {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

  private HttpServers() {}

  /** Starts a server on an address; port 0 selects a free port. */
  static DisposableServer start(Endpoint listenAddress, Consumer<HttpServerRoutes> routes)
      throws StartException {
    try {
      return HttpServer.create()
          .host(listenAddress.ip())
          .port(listenAddress.port())
          .route(routes)
          .bindNow();
    } catch (ChannelBindException e) {
      throw new StartException(
          "Cannot listen on the address " + listenAddress + ": free it or choose another.", e);
    }
  }

  /** Returns the address on which the server listens, with its actual port. */
  static Endpoint address(Endpoint listenAddress, DisposableServer server) {
    return new Endpoint(listenAddress.ip(), server.port());
  }

  /** Stops the server and closes its connections. */
  static void stop(DisposableServer server) {
    server.disposeNow(STOP_TIMEOUT);
  }
}
