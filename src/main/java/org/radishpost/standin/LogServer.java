package org.radishpost.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.radishpost.errors.AppendUnknownException;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.errors.StartException;
import org.radishpost.errors.VmListUnavailableException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import org.radishpost.store.http.LogJson;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * A stand-in for the platform that serves its log and its list of VMs over HTTP.
 *
 * <p>The clients in {@code store.http} connect to it. {@code PUT /faults} sets the faults that
 * apply to all following requests. Thread-safe.
 */
public final class LogServer {
  private static final int MAX_WAIT_MILLIS = 60_000;
  private static final int MAX_PAGE_RECORDS = 10_000;

  private final Endpoint listenAddress;
  private final MemoryLog log;
  private final MemoryVmList vms;
  private final LogJson json = new LogJson();
  private final ObjectMapper mapper = JsonMapper.builder().build();
  private volatile LogServerFaults faults =
      new LogServerFaults(false, false, 0, 0, 0, null, 0, false, 0);
  private DisposableServer server;

  /**
   * Creates a server; call {@link #start()} to open its listening socket.
   *
   * @param listenAddress the address to listen on; port 0 selects a free port
   * @param log the log to serve
   * @param vms the list of VMs to serve
   */
  public LogServer(Endpoint listenAddress, MemoryLog log, MemoryVmList vms) {
    this.listenAddress = listenAddress;
    this.log = log;
    this.vms = vms;
  }

  /**
   * Opens the listening socket.
   *
   * @return the address with the actual port
   * @throws StartException if the server cannot listen on the address
   */
  public synchronized Endpoint start() throws StartException {
    server = HttpServers.start(listenAddress, this::routes);
    return HttpServers.address(listenAddress, server);
  }

  /** Stops the server and closes all connections. The records stay in the log. */
  public synchronized void stop() {
    HttpServers.stop(server);
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/streams/{stream}/records", this::append)
        .get("/streams/{stream}/records", this::read)
        .get("/vms", this::readVms)
        .put("/vms/{id}", this::putVm)
        .delete("/vms/{id}", this::deleteVm)
        .get("/faults", (request, response) -> sendJson(response, encode(faults)))
        .put("/faults", this::putFaults)
        .get("/counts", (request, response) -> sendJson(response, encode(counts())));
  }

  private Publisher<Void> append(HttpServerRequest request, HttpServerResponse response) {
    if (faults.silent()) {
      return Mono.never();
    }
    String stream = request.param("stream");
    return readBody(request)
        .flatMap(body -> Mono.fromCallable(() -> json.decodePayload(body)))
        .flatMap(payload -> log.append(stream, payload))
        .flatMap(appended -> sendJson(response, json.encodeAppended(appended)))
        .onErrorResume(failure -> sendFailure(request, response, failure));
  }

  private Publisher<Void> read(HttpServerRequest request, HttpServerResponse response) {
    if (faults.silent()) {
      return Mono.never();
    }
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    return Mono.fromCallable(() -> ReadQuery.of(query))
        .flatMap(
            readQuery ->
                log.read(
                    request.param("stream"),
                    readQuery.fromOffset(),
                    Math.min(readQuery.maxRecords(), MAX_PAGE_RECORDS),
                    Duration.ofMillis(Math.min(readQuery.waitMillis(), MAX_WAIT_MILLIS))))
        .flatMap(page -> sendJson(response, json.encodePage(page)))
        .onErrorResume(failure -> sendFailure(request, response, failure));
  }

  private Publisher<Void> readVms(HttpServerRequest request, HttpServerResponse response) {
    return vms.read()
        .flatMap(list -> sendJson(response, json.encodeVms(list)))
        .onErrorResume(failure -> sendFailure(request, response, failure));
  }

  private Publisher<Void> putVm(HttpServerRequest request, HttpServerResponse response) {
    return readBody(request)
        .flatMap(body -> Mono.fromCallable(() -> json.decodeVm(body)))
        .flatMap(vm -> put(vm, request, response))
        .onErrorResume(failure -> sendFailure(request, response, failure));
  }

  private Mono<Void> put(VmEntry vm, HttpServerRequest request, HttpServerResponse response) {
    if (!vm.id().value().equals(request.param("id"))) {
      return Mono.error(new IOException("The VM id in the body differs from the id in the path."));
    }
    vms.put(vm);
    return sendJson(response, json.encodeVm(vm));
  }

  private Publisher<Void> deleteVm(HttpServerRequest request, HttpServerResponse response) {
    vms.remove(new VmId(request.param("id")));
    return response.status(HttpResponseStatus.NO_CONTENT).send();
  }

  private Publisher<Void> putFaults(HttpServerRequest request, HttpServerResponse response) {
    return readBody(request)
        .flatMap(body -> Mono.fromCallable(() -> mapper.readValue(body, LogServerFaults.class)))
        .flatMap(
            newFaults -> {
              applyFaults(newFaults);
              return sendJson(response, encode(newFaults));
            })
        .onErrorResume(failure -> sendFailure(request, response, failure));
  }

  private void applyFaults(LogServerFaults newFaults) {
    faults = newFaults;
    log.setFaults(newFaults.logFaults());
    log.setMaxAppendsPerSecond(newFaults.appendsPerSecond());
    vms.setDown(newFaults.vmListDown());
    vms.setLag(Duration.ofMillis(newFaults.vmListLagMillis()));
    if (newFaults.retentionMillis() != null) {
      log.setRetention(Duration.ofMillis(newFaults.retentionMillis()));
    }
  }

  private Counts counts() {
    return new Counts(log.appendCount(), log.appendedBytes());
  }

  private static Mono<byte[]> readBody(HttpServerRequest request) {
    return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
  }

  private static Mono<Void> sendJson(HttpServerResponse response, byte[] body) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length))
        .sendByteArray(Mono.just(body))
        .then();
  }

  private Mono<Void> sendFailure(
      HttpServerRequest request, HttpServerResponse response, Throwable failure) {
    return switch (failure) {
      case AppendUnknownException appendUnknown -> closeConnection(request);
      case LogUnavailableException unavailable ->
          sendError(response, HttpResponseStatus.SERVICE_UNAVAILABLE, failure);
      case VmListUnavailableException unavailable ->
          sendError(response, HttpResponseStatus.SERVICE_UNAVAILABLE, failure);
      case IOException badRequest -> sendError(response, HttpResponseStatus.BAD_REQUEST, failure);
      case IllegalArgumentException badRequest ->
          sendError(response, HttpResponseStatus.BAD_REQUEST, failure);
      default -> Mono.error(failure);
    };
  }

  private Mono<Void> sendError(
      HttpServerResponse response, HttpResponseStatus status, Throwable failure) {
    return sendJson(
        response.status(status),
        encode(new ErrorBody(List.of(String.valueOf(failure.getMessage())))));
  }

  private static Mono<Void> closeConnection(HttpServerRequest request) {
    return Mono.fromRunnable(() -> request.withConnection(connection -> connection.dispose()));
  }

  private byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a response as JSON", e);
    }
  }

  private record Counts(long appends, long appendBytes) {}

  private record ErrorBody(List<String> faults) {}

  private record ReadQuery(long fromOffset, int maxRecords, long waitMillis) {
    private static ReadQuery of(QueryStringDecoder query) {
      return new ReadQuery(
          Long.parseLong(value(query, "from", "1")),
          Integer.parseInt(value(query, "max", "1000")),
          Long.parseLong(value(query, "waitMillis", "0")));
    }

    private static String value(QueryStringDecoder query, String name, String defaultValue) {
      return query.parameters().getOrDefault(name, List.of(defaultValue)).getFirst();
    }
  }
}
