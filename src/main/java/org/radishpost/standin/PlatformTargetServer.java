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
 * A stand-in of a target on the users' platform: it answers each request at once.
 *
 * <p>{@link #setResponse} changes what it says. Thread-safe after {@link #start()}.
 */
public final class PlatformTargetServer {
  /** The path at which it tells its health. */
  public static final String HEALTH_PATH = "/healthz";

  private static final int MISDIRECTED_REQUEST = 421;

  private final String id;
  private final Listener listener;
  private final LoopResources loops;
  private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();
  private volatile ConfiguredResponse configuredResponse =
      new ConfiguredResponse(200, false, "0,0,2,100");

  /**
   * Creates a target that does not listen yet.
   *
   * @param id its identity
   * @param address where it listens
   * @param loops the threads
   */
  public PlatformTargetServer(String id, Endpoint address, LoopResources loops) {
    this.id = id;
    this.listener = new Listener(address);
    this.loops = loops;
  }

  /**
   * Starts to listen.
   *
   * @return the address with the port in use
   * @throws StartException if the address is taken
   */
  public Endpoint start() throws StartException {
    return listener.start(HttpServer.create().runOn(loops).handle(this::handle));
  }

  /** Sets what it answers from now on. */
  public void setResponse(ConfiguredResponse newResponse) {
    configuredResponse = newResponse;
  }

  /** Returns the ids of the requests that it has run, in their order. */
  public List<String> executedRequestIds() {
    return executedRequestIds;
  }

  /** Closes everything; ends when it is closed. */
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
   * What a target says.
   *
   * @param status the status of its answers
   * @param notRun whether it refuses requests as not run
   * @param loadReport its load, in the platform's form
   */
  public record ConfiguredResponse(int status, boolean notRun, String loadReport) {}
}
