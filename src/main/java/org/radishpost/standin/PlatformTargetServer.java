package org.radishpost.standin;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.radishpost.errors.StartException;
import org.radishpost.http.Listener;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * A stand-in for a target on the users' platform. It responds to each request without delay.
 *
 * <p>{@link #setResponse} changes the response. Thread-safe after {@link #start()}.
 */
public final class PlatformTargetServer {
  /** The path of the health check. */
  public static final String HEALTH_PATH = "/healthz";

  private static final int MISDIRECTED_REQUEST = 421;

  private final String id;
  private final Listener listener;
  private final LoopResources loops;
  private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();
  private volatile ConfiguredResponse configuredResponse =
      new ConfiguredResponse(200, false, "0,0,2,100");

  /**
   * Creates a target; call {@link #start()} to open its listening socket.
   *
   * @param id the target id
   * @param address the address to listen on
   * @param loops the event loops that handle the requests
   */
  public PlatformTargetServer(String id, Endpoint address, LoopResources loops) {
    this.id = id;
    this.listener = new Listener(address);
    this.loops = loops;
  }

  /**
   * Opens the listening socket.
   *
   * @return the address with the actual port
   * @throws StartException if the address is in use
   */
  public Endpoint start() throws StartException {
    return listener.start(HttpServer.create().runOn(loops).handle(this::handle));
  }

  /** Sets the response to all following requests. */
  public void setResponse(ConfiguredResponse newResponse) {
    configuredResponse = newResponse;
  }

  /** Returns the ids of the executed requests, in order of execution. */
  public List<String> executedRequestIds() {
    return executedRequestIds;
  }

  /** Closes the server and its connections; completes when they are closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    ConfiguredResponse configured = configuredResponse;
    response
        .header(WireNames.RESPONDING_TARGET, id)
        .header(WireNames.LOAD_REPORT, configured.loadReport());
    if (request.uri().equals(HEALTH_PATH)) {
      return response.status(200).sendString(Mono.just("ok"));
    }
    String requestId = request.requestHeaders().get(WireNames.REQUEST_ID, "");
    response.header(WireNames.REQUEST_ID, requestId);
    String expectedTargetId = request.requestHeaders().get(WireNames.EXPECTED_TARGET, id);
    if (!expectedTargetId.equals(id)) {
      return request.receive().then(response.status(MISDIRECTED_REQUEST).send());
    }
    if (configured.notRun()) {
      response.header(WireNames.NOT_EXECUTED, "1");
      return request.receive().then(response.status(configured.status()).send());
    }
    executedRequestIds.add(requestId);
    response.header(WireNames.UPSTREAM_SIGNATURE, "proof-of-" + requestId);
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(
            body -> response.status(configured.status()).sendString(Mono.just(id + body)).then());
  }

  /**
   * The response to each request except health checks.
   *
   * @param status the HTTP status
   * @param notRun whether requests are rejected as not run
   * @param loadReport the load report, in the platform's format
   */
  public record ConfiguredResponse(int status, boolean notRun, String loadReport) {}
}
