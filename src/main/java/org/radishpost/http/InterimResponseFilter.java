package org.radishpost.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Drops interim responses such as 103, which the HTTP client would mistake for the final response.
 *
 * <p>Responses with status 100 or 101 are passed on. There is one instance per connection, placed
 * after the codec.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {
  private static final int CONTINUE = 100;
  private static final int SWITCHING_PROTOCOLS = 101;

  private boolean interim;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      interim = isDropped(response);
    }
    if (!interim) {
      context.fireChannelRead(message);
      return;
    }
    if (message instanceof LastHttpContent) {
      interim = false;
    }
    ReferenceCountUtil.release(message);
    context.read();
  }

  private static boolean isDropped(HttpResponse response) {
    int status = response.status().code();
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        && status != CONTINUE
        && status != SWITCHING_PROTOCOLS;
  }
}
