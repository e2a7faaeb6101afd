package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.radishpost.errors.AnswerCutException;
import org.radishpost.errors.AnswerTimeoutException;
import org.radishpost.errors.ConnectionDiedException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Sends calls over HTTP/1.1 connections that it keeps open, each call once.
 *
 * <p>Thread-safe. A connection that has been idle for longer than the given time is not used for a
 * call; one whose call did not end with a whole answer is closed.
 */
public final class HttpSender implements CallSender {
  private final Scheduler clock;
  private final ConnectionProvider connections;
  private final HttpClient client;
  private final OpenConnections open = new OpenConnections();

  /**
   * Creates a sender.
   *
   * @param name the name in metrics
   * @param clock the clock for time limits
   * @param loops the threads
   * @param maxConnections the most connections to one address
   * @param maxIdle how long a connection may have been idle
   * @param connectLimit the longest wait for a connection
   */
  public HttpSender(
      String name,
      Scheduler clock,
      LoopResources loops,
      int maxConnections,
      Duration maxIdle,
      Duration connectLimit) {
    this.clock = clock;
    this.connections =
        ConnectionProvider.builder(name)
            .maxConnections(maxConnections)
            .maxIdleTime(maxIdle)
            .pendingAcquireMaxCount(maxConnections)
            .pendingAcquireTimeout(connectLimit)
            .lifo()
            .build();
    this.client =
        HttpClient.create(connections)
            .protocol(HttpProtocol.HTTP11)
            .runOn(loops)
            .disableRetry(true)
            .followRedirect(false)
            .compress(false)
            .headers(headers -> headers.remove("user-agent").remove("accept"))
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectLimit.toMillis());
  }

  @Override
  public Mono<Reply> send(Endpoint address, RequestHead head, CallBody body, Duration limit) {
    AtomicBoolean sent = new AtomicBoolean();
    return client
        .remoteAddress(() -> new InetSocketAddress(address.ip(), address.port()))
        .headers(fields -> fields.set(head.headers()))
        .doOnConnected(connection -> open.opened(address, connection))
        .doOnRequest((request, connection) -> sent.set(true))
        .request(HttpMethod.valueOf(head.method()))
        .uri(head.target())
        .send((request, out) -> body.empty() ? out : out.send(body.stream()))
        .responseConnection((response, connection) -> reply(head.method(), response, connection))
        .next()
        .timeout(limit, Mono.error(AnswerTimeout::new), clock)
        .onErrorMap(error -> failure(error, address, sent.get()));
  }

  @Override
  public void closeIdle(Endpoint address) {
    connections.disposeWhen(new InetSocketAddress(address.ip(), address.port()));
  }

  @Override
  public Flux<Endpoint> closed() {
    return open.closed();
  }

  /** Closes all connections. */
  public Mono<Void> close() {
    return connections.disposeLater();
  }

  private Mono<Reply> reply(String method, HttpClientResponse response, Connection connection) {
    HttpHeaders headers = endToEnd(response.responseHeaders());
    if (!hasEnd(method, response)) {
      connection.dispose();
      return Mono.error(
          new AnswerCutException(
              "The answer has neither a length nor chunks: let the target send one of them."));
    }
    Flux<ByteBuf> content =
        connection
            .inbound()
            .receive()
            .retain()
            .doOnCancel(connection::dispose)
            .onErrorMap(
                error ->
                    new ConnectionDiedException(
                        "The answer was cut short: look at the target's log.", error));
    return Mono.just(
        new Reply(
            response.status().code(),
            headers,
            content,
            response.trailerHeaders(),
            Optional.empty()));
  }

  private static boolean hasEnd(String method, HttpClientResponse response) {
    int status = response.status().code();
    if (method.equals("HEAD") || status == 204 || status == 304) {
      return true;
    }
    HttpHeaders headers = response.responseHeaders();
    return headers.contains("content-length")
        || headers.containsValue("transfer-encoding", "chunked", true);
  }

  private static HttpHeaders endToEnd(HttpHeaders all) {
    HttpHeaders kept = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : all) {
      if (!HeaderNames.perConnection(field.getKey())
          && !all.containsValue("connection", field.getKey(), true)) {
        kept.add(field.getKey(), field.getValue());
      }
    }
    return kept;
  }

  private static RadishpostException failure(Throwable error, Endpoint address, boolean sent) {
    if (error instanceof RadishpostException known) {
      return known;
    }
    if (!sent) {
      return new NotConnectedException(
          "No connection to " + address + ": check that it listens there.", error);
    }
    if (error instanceof AnswerTimeout) {
      return new AnswerTimeoutException(
          "No answer from " + address + " in time: look at its load and its log.");
    }
    return new ConnectionDiedException(
        "The connection to " + address + " died: look at the log of that end.", error);
  }

  /** Marks the end of the wait inside this class. */
  private static final class AnswerTimeout extends Exception {
    private static final long serialVersionUID = 1L;

    private AnswerTimeout() {
      super("time limit", null, false, false);
    }
  }
}
