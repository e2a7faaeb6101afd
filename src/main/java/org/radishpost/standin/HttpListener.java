package org.radishpost.standin;

import java.time.Duration;
import java.util.function.Consumer;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/** Binds HTTP servers for the stand-ins. */
final class HttpListener {
  private static final Duration STOP_LIMIT = Duration.ofSeconds(3);

  private HttpListener() {}

  /** Starts a server on an address; port 0 takes any free one. */
  static DisposableServer start(Endpoint listen, Consumer<HttpServerRoutes> routes)
      throws StartException {
    try {
      return HttpServer.create().host(listen.ip()).port(listen.port()).route(routes).bindNow();
    } catch (ChannelBindException e) {
      throw new StartException(
          "The address " + listen + " cannot be used: free it or choose another.", e);
    }
  }

  /** Returns where the server listens. */
  static Endpoint address(Endpoint listen, DisposableServer server) {
    return new Endpoint(listen.ip(), server.port());
  }

  /** Stops the server and closes its connections. */
  static void stop(DisposableServer server) {
    server.disposeNow(STOP_LIMIT);
  }
}
