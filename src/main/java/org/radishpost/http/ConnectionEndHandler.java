package org.radishpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;

/**
 * Records what ended a connection, where its bytes come in.
 *
 * <p>There is one instance per connection, placed before the codec.
 */
final class ConnectionEndHandler extends ChannelDuplexHandler {
  private static final AttributeKey<ResponseEnd> KEY =
      AttributeKey.valueOf("radishpost-connection-end");

  /** Returns what ended a connection; {@link ResponseEnd#NONE} while it is open. */
  static ResponseEnd endOf(Channel channel) {
    ResponseEnd end = channel.attr(KEY).get();
    return end == null ? ResponseEnd.NONE : end;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ChannelPromise observed = promise.unvoid();
    observed.addListener(
        result -> {
          if (!result.isSuccess()) {
            recordEnd(context, ResponseEnd.CONNECTION_FAILED);
          }
        });
    context.write(message, observed);
  }

  @Override
  public void close(ChannelHandlerContext context, ChannelPromise promise) {
    recordEnd(context, ResponseEnd.CLOSED_HERE);
    context.close(promise);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    recordEnd(context, ResponseEnd.CONNECTION_FAILED);
    context.fireExceptionCaught(cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    recordEnd(context, ResponseEnd.PEER_CLOSED);
    context.fireChannelInactive();
  }

  private static void recordEnd(ChannelHandlerContext context, ResponseEnd end) {
    context.channel().attr(KEY).setIfAbsent(end);
  }
}
