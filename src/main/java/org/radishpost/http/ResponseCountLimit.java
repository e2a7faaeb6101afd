package org.radishpost.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes the connection of a server that sends more than {@value #MAX_RESPONSES} responses to one
 * request, such as interim responses without end. They take no memory, but the thread.
 *
 * <p>There is one instance per connection, placed after the codec.
 */
final class ResponseCountLimit extends ChannelDuplexHandler {
  /** Leaves room for several interim responses and for late responses to earlier requests. */
  static final int MAX_RESPONSES = 32;

  private int responses;

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest) {
      responses = 0;
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse) {
      responses++;
    }
    if (responses <= MAX_RESPONSES) {
      context.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    if (responses == MAX_RESPONSES + 1 && message instanceof HttpResponse) {
      context.fireExceptionCaught(
          new TooLongFrameException(
              "more than " + MAX_RESPONSES + " responses to one request: check the server"));
      context.close();
    }
  }
}
