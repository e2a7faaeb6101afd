package org.radishpost.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import java.util.Optional;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Protects an HTTP client from responses that it did not ask for, that are malformed or that do not
 * end.
 */
public final class ResponseHandlers {
  private ResponseHandlers() {}

  /**
   * Returns the client with the handlers on each of its connections.
   *
   * @param client the client
   * @param correlationField the field that the server copies from the request to the response;
   *     empty if it copies none
   * @param counters counts the responses that are dropped, malformed or cut
   */
  public static HttpClient protect(
      HttpClient client, Optional<String> correlationField, ResponseCounters counters) {
    return client
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .doOnChannelInit(
            (observer, channel, remote) -> addTo(channel.pipeline(), correlationField, counters));
  }

  /**
   * Adds the handlers to a new connection, before and after the codec.
   *
   * @param correlationField the field that the server copies from the request to the response;
   *     empty if it copies none
   * @param counters counts the responses that are dropped, malformed or cut
   */
  static void addTo(
      ChannelPipeline pipeline, Optional<String> correlationField, ResponseCounters counters) {
    ResponseCorrelationHandler correlation =
        new ResponseCorrelationHandler(correlationField, counters);
    ResponseEndHandler responseEnd = new ResponseEndHandler(counters);
    pipeline
        .addBefore(
            NettyPipeline.HttpCodec,
            ResetAfterEndHandler.class.getName(),
            new ResetAfterEndHandler(responseEnd::endsUploadByConnection))
        .addBefore(
            NettyPipeline.HttpCodec,
            ConnectionEndHandler.class.getName(),
            new ConnectionEndHandler())
        .addBefore(
            NettyPipeline.HttpCodec,
            IdleConnectionHandler.class.getName(),
            new IdleConnectionHandler(correlation::awaitsResponse))
        .addBefore(
            NettyPipeline.HttpCodec,
            MalformedResponseHandler.class.getName(),
            new MalformedResponseHandler(
                responseEnd::requestMethod, correlation::awaitsResponse, counters))
        .addAfter(NettyPipeline.HttpCodec, ResponseEndHandler.class.getName(), responseEnd)
        .addAfter(
            NettyPipeline.HttpCodec,
            InterimResponseFilter.class.getName(),
            new InterimResponseFilter())
        .addAfter(NettyPipeline.HttpCodec, ResponseCorrelationHandler.class.getName(), correlation)
        .addAfter(
            NettyPipeline.HttpCodec, ResponseCountLimit.class.getName(), new ResponseCountLimit())
        .addBefore(
            ResponseEndHandler.class.getName(),
            SecondResponseHandler.class.getName(),
            new SecondResponseHandler(correlationField, counters));
  }
}
