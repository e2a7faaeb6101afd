package org.radishpost.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Records how each response is framed and what ended it.
 *
 * <p>There is one instance per connection, placed after the handlers that drop responses.
 */
final class ResponseEndHandler extends ChannelDuplexHandler {
  private final ResponseCounters counters;
  private HttpMethod method = HttpMethod.GET;
  private ResponseFraming framing = ResponseFraming.NONE;

  /**
   * Creates a handler for one connection.
   *
   * @param counters counts the bodies that were cut
   */
  ResponseEndHandler(ResponseCounters counters) {
    this.counters = counters;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      method = request.method();
      framing = ResponseFraming.NONE;
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      framing = ResponseFraming.of(method, response);
      Exchange.of(context.channel()).ifPresent(exchange -> exchange.recordFraming(framing));
    }
    if (message instanceof LastHttpContent) {
      recordEnd(context, endOf(context));
    }
    context.fireChannelRead(message);
  }

  private ResponseEnd endOf(ChannelHandlerContext context) {
    return framing == ResponseFraming.CLOSE
        ? ConnectionEndHandler.endOf(context.channel())
        : ResponseEnd.FRAMING;
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    Exchange.of(context.channel())
        .filter(exchange -> exchange.end() == ResponseEnd.NONE)
        .ifPresent(exchange -> exchange.recordEnd(ConnectionEndHandler.endOf(context.channel())));
    context.fireChannelInactive();
  }

  private void recordEnd(ChannelHandlerContext context, ResponseEnd end) {
    if (end != ResponseEnd.FRAMING && end != ResponseEnd.PEER_CLOSED) {
      counters.countCut();
    }
    Exchange.of(context.channel()).ifPresent(exchange -> exchange.recordEnd(end));
  }
}
