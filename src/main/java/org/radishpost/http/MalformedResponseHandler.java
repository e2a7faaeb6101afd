package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Fails the request and closes the connection when the bytes of the server are not an HTTP/1.1
 * response. The codec would make one of many of them: it accepts any number as a status, and drops
 * bytes from the names of fields.
 *
 * <p>Only the bytes before the fault reach the codec, so that no handler behind it sees a head with
 * a fault. There is one instance per connection, placed before the codec.
 */
final class MalformedResponseHandler extends ChannelInboundHandlerAdapter {
  private final FramingScanner scanner;
  private final BooleanSupplier awaitsResponse;
  private final ResponseCounters counters;
  private boolean failed;

  /**
   * Creates a handler for one connection.
   *
   * @param requestMethod returns the method of the request that was written last
   * @param awaitsResponse returns whether a request awaits a response
   * @param counters counts the malformed responses
   */
  MalformedResponseHandler(
      Supplier<HttpMethod> requestMethod,
      BooleanSupplier awaitsResponse,
      ResponseCounters counters) {
    this.scanner = new FramingScanner(new MessageKind.Responses(requestMethod));
    this.awaitsResponse = awaitsResponse;
    this.counters = counters;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (failed) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (!(message instanceof ByteBuf bytes)) {
      context.fireChannelRead(message);
      return;
    }
    Optional<FramingScanner.Fault> fault = scanner.scan(bytes);
    if (fault.isEmpty()) {
      context.fireChannelRead(bytes);
      return;
    }
    failed = true;
    int validBytes = fault.get().offset() - bytes.readerIndex();
    if (validBytes > 0) {
      context.fireChannelRead(bytes.readRetainedSlice(validBytes));
    }
    bytes.release();
    failResponse(context, fault.get().reason());
  }

  private void failResponse(ChannelHandlerContext context, MessageFault reason) {
    counters.countMalformed(context.channel(), reason);
    if (awaitsResponse.getAsBoolean()) {
      Exchange.of(context.channel())
          .ifPresent(exchange -> exchange.recordEnd(ResponseEnd.MALFORMED));
      context.fireExceptionCaught(
          new ProtocolException("malformed response: " + reason.detail() + " Check the server."));
    }
    context.close();
  }
}
