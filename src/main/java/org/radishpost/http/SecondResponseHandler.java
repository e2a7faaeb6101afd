package org.radishpost.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Fails a response that has another one in its body: a body without a length takes in all that its
 * sender sends behind it, a body that falls short of its length the beginning of the next response.
 *
 * <p>A body without a length has another response in it if it contains a response head. A body
 * whose length is declared may quote one. It has another response in it if it contains a head that
 * names a request of this connection; or if it contains any other head, or may end amid one, and
 * more bytes arrive behind it at once: those that the other response has displaced. It is not
 * examined if responses do not name their requests. There is one instance per connection, placed
 * after the handler that drops responses to other requests.
 */
final class SecondResponseHandler extends ChannelInboundHandlerAdapter {
  /** A single byte is the beginning of a head too often to wait for bytes that are not read yet. */
  private static final int MIN_HEAD_BYTES_FOR_WAIT = 2;

  /** How long the end of a body that may quote a response waits for more bytes. */
  private static final long MAX_HOLD_MILLIS = 20;

  private final Optional<String> correlationField;
  private final ResponseCounters counters;
  private ResponseFraming framing = ResponseFraming.NONE;
  private ResponseHeadFinder finder = new ResponseHeadFinder(fields -> false);
  private boolean quotesHead;
  private Optional<LastHttpContent> heldEnd = Optional.empty();
  private boolean waits;
  private boolean failed;

  /**
   * Creates a handler for one connection.
   *
   * @param correlationField the field that targets copy from the request to the response; empty if
   *     they copy none
   * @param counters counts the bodies that have another response in them
   */
  SecondResponseHandler(Optional<String> correlationField, ResponseCounters counters) {
    this.correlationField = correlationField;
    this.counters = counters;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      framing = ResponseFraming.of(HttpMethod.GET, response);
      finder = new ResponseHeadFinder(fields -> isSecond(context, fields));
      quotesHead = false;
    }
    if (failed) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof HttpContent content && hasSecond(content)) {
      content.release();
      failResponse(context);
    } else if (message instanceof LastHttpContent end && mayHaveSecond(end)) {
      hold(context, end);
    } else {
      context.fireChannelRead(message);
    }
  }

  private boolean mayHaveSecond(LastHttpContent end) {
    return framing != ResponseFraming.CLOSE
        && end.decoderResult().isSuccess()
        && (quotesHead || finder.headBytesAtEnd() > 0);
  }

  private void hold(ChannelHandlerContext context, LastHttpContent end) {
    heldEnd = Optional.of(end);
    waits = quotesHead || finder.headBytesAtEnd() >= MIN_HEAD_BYTES_FOR_WAIT;
    context.executor().schedule(() -> releaseHeld(context), MAX_HOLD_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void releaseHeld(ChannelHandlerContext context) {
    Optional<LastHttpContent> end = heldEnd;
    heldEnd = Optional.empty();
    end.ifPresent(context::fireChannelRead);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (!waits && context.channel().isActive()) {
      releaseHeld(context);
    }
    context.fireChannelReadComplete();
  }

  /** Ends the hold: a connection on which bytes arrive behind a response is closed. */
  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (ConnectionEndHandler.endOf(context.channel()) != ResponseEnd.PEER_CLOSED) {
      heldEnd.ifPresent(
          end -> {
            end.release();
            failResponse(context);
          });
      heldEnd = Optional.empty();
    }
    releaseHeld(context);
    context.fireChannelInactive();
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
    if (content instanceof LastHttpContent end && MergedHead.hasStatusLine(end.trailingHeaders())) {
      return true;
    }
    if (framing != ResponseFraming.CLOSE) {
      return correlationField.isPresent() && finder.read(content.content());
    }
    return finder.read(content.content())
        || content instanceof LastHttpContent && finder.endsWithinHead();
  }

  private boolean isSecond(ChannelHandlerContext context, HttpHeaders fields) {
    if (framing == ResponseFraming.CLOSE) {
      return true;
    }
    quotesHead = true;
    return correlationField
        .map(fields::get)
        .filter(ConnectionHistory.of(context.channel())::hasCarried)
        .isPresent();
  }
}
