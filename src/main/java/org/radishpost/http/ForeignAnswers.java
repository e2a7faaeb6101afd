package org.radishpost.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;

/**
 * Keeps answers away from requests that they don't belong to.
 *
 * <p>An answer whose correlation field names another request is left out, and the next one is
 * awaited. Bytes that come while no request waits for an answer close the connection. One for each
 * connection to a target, behind the codec.
 */
final class ForeignAnswers extends ChannelDuplexHandler {
  private final Optional<String> field;
  private Optional<String> awaited = Optional.empty();
  private boolean waiting;
  private boolean skipping;
  private boolean interim;

  /**
   * Creates a handler for one connection.
   *
   * @param field the correlation field; empty where targets repeat none
   */
  ForeignAnswers(Optional<String> field) {
    this.field = field;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      awaited = correlation(request);
      waiting = true;
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!waiting) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    if (message instanceof HttpResponse response) {
      skipping = foreign(response);
    }
    if (skipping) {
      skip(context, message);
      return;
    }
    if (message instanceof LastHttpContent && !interim) {
      waiting = false;
    }
    context.fireChannelRead(message);
  }

  private void skip(ChannelHandlerContext context, Object message) {
    if (message instanceof LastHttpContent) {
      skipping = false;
    }
    ReferenceCountUtil.release(message);
    context.read();
  }

  private boolean foreign(HttpResponse response) {
    interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    Optional<String> named = correlation(response);
    return !interim && named.isPresent() && !named.equals(awaited);
  }

  private Optional<String> correlation(HttpMessage message) {
    return field.map(message.headers()::get);
  }
}
