package org.radishpost.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Locale;
import java.util.Set;

/**
 * Detects a body that has another response in it: a body without a length takes in all that its
 * sender sends behind it, a body that falls short of its length the beginning of the next response.
 *
 * <p>A body without a length has another response in it if it contains a response head. A body
 * whose length is declared may quote one, so it must contain one that names a request of this
 * connection, or names none and has all fields that are particular to the sender. There is one
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
  private ResponseHeadFinder finder;

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
    if (message instanceof HttpContent content && finder != null && hasSecond(content)) {
      finder = null;
      counters.countSurplus(SurplusResponse.WITHIN_BODY);
      Exchange.of(context.channel())
          .ifPresent(exchange -> exchange.recordEnd(ResponseEnd.SECOND_RESPONSE));
    }
    context.fireChannelRead(message);
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
        ? hasOwnFields(fields)
        : ConnectionHistory.of(context.channel()).hasCarried(id);
  }

  /** Returns whether a head has all fields of the response that only its sender adds. */
  private boolean hasOwnFields(HttpHeaders fields) {
    long particularFields = ownFields.names().stream().filter(this::isParticular).count();
    return particularFields > 0
        && ownFields.names().stream().filter(this::isParticular).allMatch(fields::contains);
  }

  private boolean isParticular(String name) {
    return !name.equalsIgnoreCase(correlationField)
        && !COMMON_FIELDS.contains(name.toLowerCase(Locale.ROOT));
  }
}
