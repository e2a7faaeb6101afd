package org.radishpost.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.errors.StartException;
import org.radishpost.http.Listener;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * A stand-in for the platform's store that serves reads of keyed topics over HTTP.
 *
 * <p>{@link #setFault} sets the fault of all following requests. Thread-safe after {@link
 * #start()}.
 */
public final class KeyedStoreServer {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int NOT_FOUND = 404;
  private static final int MAX_PAGE_ITEMS = 500;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

  private final KeyedStore store;
  private final Listener listener;
  private final LoopResources loops;
  private final AtomicInteger requestCount = new AtomicInteger();
  private volatile StoreFault fault = new StoreFault.None();
  private volatile boolean sendsEra = true;

  /**
   * Creates a server; call {@link #start()} to open its listening socket.
   *
   * @param store the topics to serve
   * @param address the address to listen on
   * @param loops the event loops that handle the requests
   */
  public KeyedStoreServer(KeyedStore store, Endpoint address, LoopResources loops) {
    this.store = store;
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

  /** Sets the fault that applies to all following requests. */
  public void setFault(StoreFault newFault) {
    fault = newFault;
  }

  /** Leaves out the era in all following responses, as an older store does. */
  public void omitEra() {
    sendsEra = false;
  }

  /** Returns the number of requests received. */
  public int requestCount() {
    return requestCount.get();
  }

  /** Closes the server and its connections; completes when they are closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    StoreFault currentFault = fault;
    requestCount.incrementAndGet();
    return switch (currentFault) {
      case StoreFault.None none -> serve(request, response);
      case StoreFault.ErrorResponse error ->
          addEra(response, store.era()).status(error.status()).send();
      case StoreFault.NoResponse noResponse -> Mono.never();
      case StoreFault.DelayedResponse delayed ->
          Mono.delay(delayed.delay()).then(Mono.from(serve(request, response)));
      case StoreFault.ClosedConnection closed -> {
        request.withConnection(connection -> connection.channel().close());
        yield Mono.never();
      }
    };
  }

  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    String topic = parameter(query, "topic", "");
    return switch (query.path()) {
      case WireNames.LOG_NEWEST_PATH ->
          sendNewestRecords(topic, parameter(query, "after", ""), response);
      case WireNames.LOG_READ_PATH ->
          read(
              topic,
              Long.parseLong(parameter(query, "from", "0")),
              Duration.ofMillis(Long.parseLong(parameter(query, "wait-ms", "0"))),
              response);
      default -> response.status(NOT_FOUND).send();
    };
  }

  private Publisher<Void> read(
      String topic, long fromOffset, Duration wait, HttpServerResponse response) {
    return Flux.interval(Duration.ZERO, POLL_INTERVAL)
        .filter(tick -> store.endOffset(topic) != fromOffset)
        .next()
        .timeout(wait.plusMillis(1), Mono.empty())
        .then(Mono.defer(() -> Mono.from(sendRecords(topic, fromOffset, response))));
  }

  private Publisher<Void> sendRecords(String topic, long fromOffset, HttpServerResponse response) {
    KeyedStore.Page page = store.read(topic, fromOffset);
    HttpServerResponse withEra = addEra(response, page.era());
    return page.body()
        .map(bytes -> (Publisher<Void>) withEra.status(OK).sendByteArray(Mono.just(bytes)))
        .orElseGet(() -> withEra.status(GONE).send());
  }

  private Publisher<Void> sendNewestRecords(
      String topic, String afterKey, HttpServerResponse response) {
    KeyedStore.NewestRecords newest = store.newestRecords(topic, afterKey);
    List<KeyedStore.NewestRecord> records = newest.records();
    ObjectNode page = MAPPER.createObjectNode();
    ArrayNode items = page.putArray("items");
    for (KeyedStore.NewestRecord newestRecord :
        records.subList(0, Math.min(MAX_PAGE_ITEMS, records.size()))) {
      items
          .addObject()
          .put("key", newestRecord.key())
          .put("value", Base64.getEncoder().encodeToString(newestRecord.value()))
          .put("offset", newestRecord.offset());
    }
    page.put("has-more", records.size() > MAX_PAGE_ITEMS);
    page.put("end", newest.endOffset());
    return addEra(response, newest.era())
        .status(OK)
        .header("content-type", "application/json")
        .sendString(Mono.just(page.toString()));
  }

  private HttpServerResponse addEra(HttpServerResponse response, long era) {
    return sendsEra ? response.header(WireNames.STORE_ERA, Long.toString(era)) : response;
  }

  private static String parameter(QueryStringDecoder query, String name, String defaultValue) {
    Map<String, List<String>> parameters = query.parameters();
    return parameters.getOrDefault(name, List.of(defaultValue)).getFirst();
  }
}
