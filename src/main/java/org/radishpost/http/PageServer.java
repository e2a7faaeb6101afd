package org.radishpost.http;

import java.util.Map;
import java.util.function.Supplier;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * Serves static paths of this process, such as readiness and metrics.
 *
 * <p>Call {@link #start()} once and {@link #stop()} once.
 */
public final class PageServer {
  private static final int NOT_FOUND = 404;

  private final Listener listener;
  private final Map<String, Supplier<Response>> pages;
  private final LoopResources loops;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address the address to listen on
   * @param pages the pages by path
   * @param loops the event loop threads
   */
  public PageServer(Endpoint address, Map<String, Supplier<Response>> pages, LoopResources loops) {
    this.listener = new Listener(address);
    this.pages = Map.copyOf(pages);
    this.loops = loops;
  }

  /**
   * Starts listening.
   *
   * @return the address with the actual port
   * @throws StartException if the address is already in use
   */
  public Endpoint start() throws StartException {
    HttpServer http =
        HttpServer.create()
            .runOn(loops)
            .handle(
                (request, serverResponse) ->
                    ResponseWriter.write(
                        find(request.uri()), request.method().name(), serverResponse));
    return listener.start(http);
  }

  /** Closes the listener and all connections. Completes when they are closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private Response find(String uri) {
    int query = uri.indexOf('?');
    Supplier<Response> page = pages.get(query < 0 ? uri : uri.substring(0, query));
    return page == null ? Responses.text(NOT_FOUND, "no such page\n") : page.get();
  }
}
