package org.radishpost.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;
import java.util.Locale;
import java.util.Set;

/**
 * Fails a response that has another one in its body: a body without a length takes in all that its
 * sender sends behind it, a body that falls short of its length the beginning of the next response.
 *
 * <p>A body without a length has another response in it if it contains a response head. A body
 * whose length is declared may quote one, so it must contain one that names a request of this
 * connection, or names none and has all fields that are particular to the sender, or one of them
 * with the same value: a refusal lacks the fields of a result, but names its sender. There is one
 * instance per connection to a target, placed after the handler that drops responses to other
 * requests.
 */
final class SecondResponseHandler extends ChannelInboundHandlerAdapter {
  /** Fields that responses of any sender have. */
  private static final Set<String> COMMON_FIELDS =
      Set.of(
          "connection",
          "content-length",
          "content-type",
          "date",
          "keep-alive",
          "server",
          "transfer-encoding");

  private final String correlationField;
  private final ResponseCounters counters;
  private ResponseFraming framing = ResponseFraming.NONE;
  private HttpHeaders ownFields = EmptyHttpHeaders.INSTANCE;
  private ResponseHeadFinder finder = new ResponseHeadFinder(fields -> false);
  private boolean failed;

  /**
   * Creates a handler for one connection.
   *
   * @param correlationField the field that targets copy from the request to the response
   * @param counters counts the bodies that have another response in them
   */
  SecondResponseHandler(String correlationField, ResponseCounters counters) {
    this.correlationField = correlationField;
    this.counters = counters;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      framing = ResponseFraming.of(HttpMethod.GET, response);
      ownFields = response.headers();
      finder = new ResponseHeadFinder(fields -> isSecond(context, fields));
    }
    if (failed) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof HttpContent content && hasSecond(content)) {
      content.release();
      failResponse(context);
    } else {
      context.fireChannelRead(message);
    }
  }

  private void failResponse(ChannelHandlerContext context) {
    failed = true;
    counters.countSurplus(context.channel(), SurplusResponse.WITHIN_BODY);
    Exchange.of(context.channel())
        .ifPresent(exchange -> exchange.recordEnd(ResponseEnd.SECOND_RESPONSE));
    context.fireExceptionCaught(
        new ProtocolException("another response stands in the body: check the target"));
    context.close();
  }

  private boolean hasSecond(HttpContent content) {
    return finder.read(content.content())
        || content instanceof LastHttpContent
            && framing == ResponseFraming.CLOSE
            && finder.endsWithinHead();
  }

  private boolean isSecond(ChannelHandlerContext context, HttpHeaders fields) {
    if (framing == ResponseFraming.CLOSE) {
      return true;
    }
    String id = fields.get(correlationField);
    return id == null
        ? hasOwnFields(fields) || hasOwnValue(fields)
        : ConnectionHistory.of(context.channel()).hasCarried(id);
  }

  /** Returns whether a head has all fields of the response that only its sender adds. */
  private boolean hasOwnFields(HttpHeaders fields) {
    long particularFields = ownFields.names().stream().filter(this::isParticular).count();
    return particularFields > 0
        && ownFields.names().stream().filter(this::isParticular).allMatch(fields::contains);
  }

  /**
   * Returns whether a head has a field that only its sender adds, with the value of that sender.
   */
  private boolean hasOwnValue(HttpHeaders fields) {
    return ownFields.names().stream()
        .filter(this::isParticular)
        .anyMatch(name -> ownFields.get(name).equals(fields.get(name)));
  }

  private boolean isParticular(String name) {
    return !name.equalsIgnoreCase(correlationField)
        && !COMMON_FIELDS.contains(name.toLowerCase(Locale.ROOT));
  }
}
