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
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.NettyOutbound;
import reactor.netty.NettyPipeline;
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
  private final boolean acceptsUnframed;
  private final ConnectionProvider connections;
  private final HttpClient client;
  private final OpenConnections open = new OpenConnections();

  /**
   * Creates a sender.
   *
   * @param options how calls are sent
   * @param clock the clock for time limits
   * @param loops the threads
   */
  public HttpSender(SenderOptions options, Scheduler clock, LoopResources loops) {
    this.clock = clock;
    this.acceptsUnframed = options.acceptsUnframed();
    this.connections =
        ConnectionProvider.builder(options.name())
            .maxConnections(options.maxConnections())
            .maxIdleTime(options.maxIdle())
            .pendingAcquireMaxCount(options.maxConnections())
            .pendingAcquireTimeout(options.connectLimit())
            .lifo()
            .build();
    this.client =
        NumericAddresses.only(SilentPeers.noticed(HttpClient.create(connections)))
            .runOn(loops)
            .disableRetry(true)
            .followRedirect(false)
            .compress(false)
            .headers(headers -> headers.remove("user-agent").remove("accept"))
            .doOnChannelInit(
                (observer, channel, remote) -> prepare(channel, options.correlationField()))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.connectLimit().toMillis());
  }

  private static void prepare(Channel channel, Optional<String> correlationField) {
    channel
        .pipeline()
        .addAfter(NettyPipeline.HttpCodec, InterimAnswers.class.getName(), new InterimAnswers())
        .addAfter(
            NettyPipeline.HttpCodec,
            ForeignAnswers.class.getName(),
            new ForeignAnswers(correlationField));
  }

  @Override
  public Mono<Reply> send(Endpoint address, RequestHead head, CallBody body, Duration limit) {
    return Mono.defer(() -> send(address, head, body, limit, new SendAttempt()));
  }

  private Mono<Reply> send(
      Endpoint address, RequestHead head, CallBody body, Duration limit, SendAttempt attempt) {
    return client
        .remoteAddress(() -> new InetSocketAddress(address.ip(), address.port()))
        .headers(fields -> fields.set(head.headers()))
        .doOnConnected(connection -> open.opened(address, connection))
        .request(HttpMethod.valueOf(head.method()))
        .uri(head.target())
        .send((request, out) -> attempt.begin() ? write(out, body, attempt) : attempt.tooLate())
        .responseConnection((response, connection) -> reply(head.method(), response, connection))
        .next()
        .timeout(limit, Mono.error(SendAttempt.AnswerTimeout::new), clock)
        .onErrorMap(error -> attempt.failure(error, address));
  }

  private static Publisher<Void> write(NettyOutbound out, CallBody body, SendAttempt attempt) {
    return body.empty() ? out : out.send(body.stream().doOnError(attempt::bodyFailed));
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
    if (!acceptsUnframed && !hasEnd(method, response)) {
      connection.dispose();
      return Mono.error(
          new UnframedResponseException(
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
                    new ConnectionLostException(
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
    Set<String> named = HeaderNames.namedInConnection(all);
    HttpHeaders kept = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : all) {
      if (!HeaderNames.endsHere(field.getKey(), named)) {
        kept.add(field.getKey(), field.getValue());
      }
    }
    return kept;
  }
}
