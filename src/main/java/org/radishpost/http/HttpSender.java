package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.UnframedResponseException;
import org.radishpost.lib.Endpoint;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.util.retry.Retry;

/**
 * Sends each call once, over pooled HTTP/1.1 connections.
 *
 * <p>Thread-safe. A connection that has been idle for longer than the maximum idle time is not
 * reused. A connection whose call did not end with a complete response is closed. A connection
 * never carries two calls with the same ID, because a late copy of the response to the first one
 * could not be told from the response to the second.
 */
public final class HttpSender implements CallSender {
  private final Scheduler clock;
  private final boolean acceptsCloseDelimited;
  private final Optional<String> correlationField;
  private final ConnectionProvider connectionPool;
  private final HttpClient client;
  private final HttpClient headClient;
  private final OpenConnections openConnections = new OpenConnections();
  private final ResponseCounters counters = new ResponseCounters();

  /**
   * Creates a sender.
   *
   * @param options the options for connections and responses
   * @param clock the clock for timeouts
   * @param loops the event loop threads
   */
  public HttpSender(SenderOptions options, Scheduler clock, LoopResources loops) {
    this.clock = clock;
    this.acceptsCloseDelimited = options.acceptsCloseDelimited();
    this.correlationField = options.correlationField();
    this.connectionPool =
        ConnectionProvider.builder(options.name())
            .maxConnections(options.maxConnections())
            .maxIdleTime(options.maxIdleTime())
            .pendingAcquireMaxCount(options.maxConnections())
            .pendingAcquireTimeout(options.connectTimeout())
            .lifo()
            .build();
    this.client = createClient(connectionPool, options, loops);
    this.headClient = createClient(ConnectionProvider.newConnection(), options, loops);
  }

  private HttpClient createClient(
      ConnectionProvider connections, SenderOptions options, LoopResources loops) {
    HttpClient protectedClient =
        ResponseHandlers.protect(HttpClient.create(connections), correlationField, counters);
    return NameResolution.disable(TcpKeepAlive.enable(protectedClient))
        .runOn(loops)
        .disableRetry(true)
        .followRedirect(false)
        .compress(false)
        .headers(headers -> headers.remove("user-agent").remove("accept"))
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.connectTimeout().toMillis());
  }

  @Override
  public Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration timeout) {
    return send(address, head, body, timeout, new Exchange());
  }

  @Override
  public Mono<Response> send(
      Endpoint address, RequestHead head, CallBody body, Duration timeout, Exchange exchange) {
    return Mono.defer(() -> send(address, head, body, timeout, exchange, new SendAttempt()));
  }

  private Mono<Response> send(
      Endpoint address,
      RequestHead head,
      CallBody body,
      Duration timeout,
      Exchange exchange,
      SendAttempt attempt) {
    return clientFor(address, head)
        .remoteAddress(() -> new InetSocketAddress(address.ip(), address.port()))
        .headers(fields -> fields.set(head.headers()))
        .doOnRequest(
            (request, connection) -> startExchange(exchange, attempt, head, connection.channel()))
        .request(HttpMethod.valueOf(head.method()))
        .uri(head.target())
        .send(
            (request, out) ->
                attempt.tryStart() ? writeBody(out, body, attempt) : attempt.notStarted())
        .responseConnection(
            (response, connection) -> toResponse(head.method(), response, connection))
        .next()
        .retryWhen(onOtherConnection(attempt))
        .timeout(timeout, Mono.error(SendAttempt.ResponseTimeoutSignal::new), clock)
        .onErrorMap(error -> attempt.toException(error, address));
  }

  /**
   * Returns the client for a request. A HEAD request has a connection of its own: a copy of its
   * response looks like a response with a body, or a copy of another like one without.
   */
  private HttpClient clientFor(Endpoint address, RequestHead head) {
    return head.method().equals(HttpMethod.HEAD.name())
        ? headClient
        : client.doOnConnected(connection -> openConnections.add(address, connection));
  }

  private void startExchange(
      Exchange exchange, SendAttempt attempt, RequestHead head, Channel channel) {
    exchange.start(channel);
    Optional<String> id = correlationField.map(head.headers()::get);
    if (!ConnectionHistory.of(channel).tryAdd(id)) {
      attempt.rejectConnection(channel);
    }
  }

  private static Retry onOtherConnection(SendAttempt attempt) {
    return Retry.indefinitely()
        .filter(SendAttempt.OtherConnectionSignal.class::isInstance)
        .doBeforeRetryAsync(signal -> attempt.closeRejectedConnection());
  }

  private static Publisher<Void> writeBody(NettyOutbound out, CallBody body, SendAttempt attempt) {
    return body.isEmpty() ? out : out.send(body.stream().doOnError(attempt::recordBodyFailure));
  }

  @Override
  public void closeIdle(Endpoint address) {
    connectionPool.disposeWhen(new InetSocketAddress(address.ip(), address.port()));
  }

  @Override
  public Flux<Endpoint> closedAddresses() {
    return openConnections.closedAddresses();
  }

  /** Returns the counters of the responses that were dropped or cut. */
  public ResponseCounters counters() {
    return counters;
  }

  /** Closes all pooled connections. */
  public Mono<Void> close() {
    return connectionPool.disposeLater();
  }

  private Mono<Response> toResponse(
      String method, HttpClientResponse response, Connection connection) {
    HttpHeaders headers = endToEndFields(response.responseHeaders());
    if (!acceptsCloseDelimited && !isSelfDelimited(method, response)) {
      connection.dispose();
      return Mono.error(
          new UnframedResponseException(
              "The response has no length and is not chunked: the target must send either."));
    }
    Flux<ByteBuf> content =
        connection
            .inbound()
            .receive()
            .retain()
            .doFinally(signal -> closeIfCancelled(signal, connection))
            .onErrorMap(
                error ->
                    new ConnectionLostException(
                        "The response was truncated. Check the log of the target.", error));
    return Mono.just(
        new Response(
            response.status().code(),
            headers,
            content,
            response.trailerHeaders(),
            Optional.empty()));
  }

  /**
   * Closes the connection of a body that is not read to its end. It is closed after the
   * cancellation, because its end would look like the end of the body before.
   */
  private static void closeIfCancelled(SignalType signal, Connection connection) {
    if (signal == SignalType.CANCEL) {
      connection.dispose();
    }
  }

  private static boolean isSelfDelimited(String method, HttpClientResponse response) {
    int status = response.status().code();
    if (method.equals("HEAD") || status == 204 || status == 304) {
      return true;
    }
    HttpHeaders headers = response.responseHeaders();
    return headers.contains("content-length")
        || headers.containsValue("transfer-encoding", "chunked", true);
  }

  private static HttpHeaders endToEndFields(HttpHeaders headers) {
    Set<String> connectionOptions = HeaderNames.connectionOptions(headers);
    HttpHeaders forwarded = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : headers) {
      if (!HeaderNames.isNotForwarded(field.getKey(), connectionOptions)) {
        forwarded.add(field.getKey(), field.getValue());
      }
    }
    return forwarded;
  }
}
