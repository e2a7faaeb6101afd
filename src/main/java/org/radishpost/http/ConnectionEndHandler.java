package org.radishpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.AttributeKey;

/**
 * Records what ended a connection, where its bytes come in.
 *
 * <p>Only the end of the stream, received before any error, failed write or close, is the end of
 * the peer. The connection must be half-closable, because Netty reports the end of the stream only
 * then; this handler closes it after the event. There is one instance per connection, placed before
 * the codec.
 */
final class ConnectionEndHandler extends ChannelDuplexHandler {
  private static final AttributeKey<ResponseEnd> KEY =
      AttributeKey.valueOf("radishpost-connection-end");

  /** Returns what ended a connection; {@link ResponseEnd#NONE} while it is open. */
  static ResponseEnd endOf(Channel channel) {
    ResponseEnd end = channel.attr(KEY).get();
    return end == null ? ResponseEnd.NONE : end;
  }

  /** Records what ended a connection, unless something ended it before. */
  static void recordEnd(Channel channel, ResponseEnd end) {
    channel.attr(KEY).setIfAbsent(end);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ChannelPromise observed = promise.unvoid();
    observed.addListener(
        result -> {
          if (!result.isSuccess()) {
            recordEnd(context.channel(), ResponseEnd.CONNECTION_FAILED);
          }
        });
    context.write(message, observed);
  }

  @Override
  public void close(ChannelHandlerContext context, ChannelPromise promise) {
    recordEnd(context.channel(), ResponseEnd.CLOSED_HERE);
    context.close(promise);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    recordEnd(context.channel(), ResponseEnd.CONNECTION_FAILED);
    context.fireExceptionCaught(cause);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (!(event instanceof ChannelInputShutdownEvent)) {
      context.fireUserEventTriggered(event);
      return;
    }
    recordEnd(context.channel(), ResponseEnd.PEER_CLOSED);
    context.fireUserEventTriggered(event);
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    recordEnd(context.channel(), ResponseEnd.CONNECTION_FAILED);
    context.fireChannelInactive();
  }
}
