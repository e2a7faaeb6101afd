package org.radishpost.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;
import java.util.Optional;
import java.util.Set;

/**
 * Prevents a response from being taken for the response to another request.
 *
 * <p>A response whose correlation field names another request is dropped, and the handler waits for
 * the next one, up to {@value #MAX_SKIPPED_BYTES} bytes of dropped bodies. The request fails and
 * the connection is closed if the dropped response does not end, or if a response lacks the field:
 * it may be a late copy, or the target faulty. Only a refusal may lack the field, and only on a
 * connection that has carried no other request; the connection is not reused after it. Bytes that
 * arrive while no request awaits a response close the connection. There is one instance per
 * connection to a target, placed after the codec.
 */
final class ResponseCorrelationHandler extends ChannelDuplexHandler {
  /** Statuses of responses that may state that the target did not run the request. */
  private static final Set<Integer> REFUSAL_STATUSES = Set.of(400, 421, 429, 503);

  /** The maximum size of the bodies that are dropped before the response to a request. */
  private static final int MAX_SKIPPED_BYTES = 262_144;

  private final Optional<String> correlationField;
  private final ResponseCounters counters;
  private Optional<String> expectedValue = Optional.empty();
  private HttpMethod method = HttpMethod.GET;
  private ResponseHeadFinder ownHeadFinder = new ResponseHeadFinder(fields -> false);
  private boolean awaitingResponse;
  private boolean skipping;
  private boolean interim;
  private int skippedBytes;

  /**
   * Creates a handler for one connection.
   *
   * @param correlationField the field that targets copy from the request to the response; empty if
   *     targets copy none
   * @param counters counts the responses that are dropped
   */
  ResponseCorrelationHandler(Optional<String> correlationField, ResponseCounters counters) {
    this.correlationField = correlationField;
    this.counters = counters;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      expectedValue = correlationValue(request);
      method = request.method();
      awaitingResponse = true;
      skippedBytes = 0;
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!awaitingResponse) {
      if (message instanceof HttpResponse response) {
        boolean named = correlationValue(response).isPresent();
        counters.countSurplus(
            context.channel(),
            named ? SurplusResponse.IDLE_WITH_ID : SurplusResponse.IDLE_WITHOUT_ID);
      }
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    if (message instanceof HttpResponse response) {
      interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      Optional<SurplusResponse> surplus = surplusFailingRequest(context, response);
      surplus.ifPresent(moment -> counters.countSurplus(context.channel(), moment));
      if (surplus.isPresent() || isUpgrade(response)) {
        failRequest(context, message);
        return;
      }
      skipping = belongsToOtherRequest(response);
      if (skipping) {
        recordSkipped(context, response);
        ownHeadFinder = new ResponseHeadFinder(this::isOwnHead);
      }
    }
    if (skipping) {
      skip(context, message);
      return;
    }
    if (message instanceof HttpResponse response && isUnidentifiedRefusal(response)) {
      HttpUtil.setKeepAlive(response, false);
    }
    if (message instanceof LastHttpContent && !interim) {
      awaitingResponse = false;
    }
    context.fireChannelRead(message);
  }

  /** Returns whether a request has been written and its response has not been read to its end. */
  boolean awaitsResponse() {
    return awaitingResponse;
  }

  private void failRequest(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
    awaitingResponse = false;
    context.fireExceptionCaught(
        new ProtocolException(
            "the response cannot be told from another, or switches protocols: check the target"));
    context.close();
  }

  private void recordSkipped(ChannelHandlerContext context, HttpResponse response) {
    counters.countSurplus(context.channel(), SurplusResponse.WAITING_WITH_OTHER_ID);
    Exchange.of(context.channel())
        .ifPresent(exchange -> exchange.recordSkipped(correlationValue(response)));
  }

  private void skip(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpContent content) {
      skippedBytes += PartCost.of(content.content());
    }
    if (skippedBytes > MAX_SKIPPED_BYTES || hidesOwnResponse(message)) {
      failRequest(context, message);
      return;
    }
    if (message instanceof LastHttpContent) {
      skipping = false;
    }
    ReferenceCountUtil.release(message);
    context.read();
  }

  /**
   * Returns whether the response to the waiting request will not be seen behind a part of a dropped
   * one, because that one does not end or takes its bytes.
   */
  private boolean hidesOwnResponse(Object message) {
    if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
      return true;
    }
    return switch (message) {
      case HttpResponse response -> ResponseFraming.of(method, response) == ResponseFraming.CLOSE;
      case HttpContent content -> ownHeadFinder.read(content.content());
      default -> false;
    };
  }

  private boolean isOwnHead(HttpHeaders fields) {
    return correlationField.map(fields::get).equals(expectedValue);
  }

  /** Returns what a response is that does not belong to the waiting request, but fails it. */
  private Optional<SurplusResponse> surplusFailingRequest(
      ChannelHandlerContext context, HttpResponse response) {
    if (response.decoderResult().isSuccess() && MergedHead.isMerged(response)) {
      return Optional.of(SurplusResponse.WITHIN_HEAD);
    }
    return lacksRequiredId(context, response)
        ? Optional.of(SurplusResponse.WAITING_WITHOUT_ID)
        : Optional.empty();
  }

  /** No request asks for another protocol. */
  private static boolean isUpgrade(HttpResponse response) {
    return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }

  /** Malformed responses are passed on: the client fails the request. */
  private boolean lacksRequiredId(ChannelHandlerContext context, HttpResponse response) {
    return !interim
        && response.decoderResult().isSuccess()
        && expectedValue.isPresent()
        && correlationValue(response).isEmpty()
        && !(isUnidentifiedRefusal(response) && isFirstRequest(context));
  }

  private static boolean isFirstRequest(ChannelHandlerContext context) {
    return ConnectionHistory.of(context.channel()).requestCount() <= 1;
  }

  private boolean belongsToOtherRequest(HttpResponse response) {
    Optional<String> receivedValue = correlationValue(response);
    return !interim && receivedValue.isPresent() && !receivedValue.equals(expectedValue);
  }

  private boolean isUnidentifiedRefusal(HttpResponse response) {
    return REFUSAL_STATUSES.contains(response.status().code())
        && correlationValue(response).isEmpty();
  }

  private Optional<String> correlationValue(HttpMessage message) {
    return correlationField.map(message.headers()::get);
  }
}
