package org.radishpost.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/**
 * Copies the ID of each call from its request to its response, whoever writes the response, so that
 * the VM that sent the call can tell it from responses to other calls.
 *
 * <p>There is one instance per connection from another VM, placed after the codec.
 */
final class HopIdHandler extends ChannelDuplexHandler {
  /** The IDs of the requests whose responses have not been written, in the order of requests. */
  private final Queue<Optional<String>> pendingIds = new ArrayDeque<>();

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request) {
      pendingIds.add(Optional.ofNullable(request.headers().get(HeaderNames.HOP_ID)));
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpResponse response && !isInterim(response)) {
      Optional<String> id = pendingIds.isEmpty() ? Optional.empty() : pendingIds.remove();
      id.ifPresent(value -> response.headers().set(HeaderNames.HOP_ID, value));
    }
    context.write(message, promise);
  }

  private static boolean isInterim(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }
}
