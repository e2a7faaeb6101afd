package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Records how each response is framed and what ended it, and turns the end of a body without a
 * length into an error unless the peer ended it: the codec completes such a body whenever the
 * connection ends, also by an error, a failed write or a close of this process. A peer that closes
 * before the request has been written resets the connection, even if its end arrives before that.
 *
 * <p>There is one instance per connection, placed after the handlers that drop responses.
 */
final class ResponseEndHandler extends ChannelDuplexHandler {
  private final ResponseCounters counters;
  private HttpMethod method = HttpMethod.GET;
  private ResponseFraming framing = ResponseFraming.NONE;
  private boolean requestWritten;
  private boolean requestHasBody;

  /**
   * Creates a handler for one connection.
   *
   * @param counters counts the bodies that were cut
   */
  ResponseEndHandler(ResponseCounters counters) {
    this.counters = counters;
  }

  /** Returns the method of the request that was written last. */
  HttpMethod requestMethod() {
    return method;
  }

  /**
   * Returns whether the response is one without a length to a request that was written and has a
   * body, so that its peer may end the connection without having read the request.
   */
  boolean endsUploadByConnection() {
    return framing == ResponseFraming.CLOSE && requestWritten && requestHasBody;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      method = request.method();
      framing = ResponseFraming.NONE;
      requestWritten = false;
      requestHasBody = false;
    }
    requestHasBody |= hasBytes(message);
    if (message instanceof LastHttpContent) {
      ChannelPromise observed = promise.unvoid();
      observed.addListener(result -> requestWritten = result.isSuccess());
      context.write(message, observed);
      return;
    }
    context.write(message, promise);
  }

  private static boolean hasBytes(Object message) {
    return switch (message) {
      case HttpContent content -> content.content().isReadable();
      case HttpObject head -> false;
      case ByteBuf bytes -> bytes.isReadable();
      default -> true;
    };
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      framing = ResponseFraming.of(method, response);
      if (response.decoderResult().isSuccess()) {
        Exchange.of(context.channel()).ifPresent(exchange -> exchange.recordFraming(framing));
      }
      if (framing == ResponseFraming.CLOSE) {
        HttpUtil.setKeepAlive(response, false);
      }
    }
    if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
      recordEndIfNone(context);
    }
    if (message instanceof LastHttpContent content
        && content.decoderResult().isSuccess()
        && !endedByPeer(context)) {
      content.release();
      context.fireExceptionCaught(
          new PrematureChannelClosureException("the connection ended before its peer closed it"));
      context.close();
      return;
    }
    context.fireChannelRead(message);
  }

  private boolean endedByPeer(ChannelHandlerContext context) {
    ResponseEnd end = endOf(context);
    Exchange.of(context.channel()).ifPresent(exchange -> exchange.recordEnd(end));
    if (end == ResponseEnd.FRAMING || end == ResponseEnd.PEER_CLOSED) {
      return true;
    }
    counters.countCut();
    return false;
  }

  private ResponseEnd endOf(ChannelHandlerContext context) {
    if (framing != ResponseFraming.CLOSE) {
      return ResponseEnd.FRAMING;
    }
    ResponseEnd end = ConnectionEndHandler.endOf(context.channel());
    return end == ResponseEnd.PEER_CLOSED && !requestWritten ? ResponseEnd.PEER_CLOSED_EARLY : end;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    recordEndIfNone(context);
    context.fireExceptionCaught(cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    recordEndIfNone(context);
    context.fireChannelInactive();
  }

  /** An error of the codec leaves the connection open at first, but the response has failed. */
  private static void recordEndIfNone(ChannelHandlerContext context) {
    ResponseEnd end = ConnectionEndHandler.endOf(context.channel());
    ResponseEnd known = end == ResponseEnd.NONE ? ResponseEnd.CONNECTION_FAILED : end;
    Exchange.of(context.channel())
        .filter(exchange -> exchange.end() == ResponseEnd.NONE)
        .ifPresent(exchange -> exchange.recordEnd(known));
  }
}
