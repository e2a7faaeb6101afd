package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;

/**
 * Watches the bytes of a connection before they are decoded, and ends it at the first request whose
 * limits two readers could see differently.
 *
 * <p>It passes all bytes before the fault on, then a message marked as failed, and nothing more. So
 * the answers to earlier requests come first, and then a refusal. One for each connection.
 */
final class FramingGuard extends ChannelInboundHandlerAdapter {
  private final FramingScanner scanner = new FramingScanner();
  private final String codecName;
  private boolean failed;

  /** Creates a guard in front of the decoder with the given name. */
  FramingGuard(String codecName) {
    this.codecName = codecName;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (failed || !(message instanceof ByteBuf bytes)) {
      release(context, message);
      return;
    }
    Optional<FramingScanner.Fault> fault = scanner.scan(bytes);
    if (fault.isEmpty()) {
      context.fireChannelRead(bytes);
      return;
    }
    failed = true;
    int good = fault.get().offset() - bytes.readerIndex();
    if (fault.get().inBody() && good > 0) {
      context.fireChannelRead(bytes.readRetainedSlice(good));
    }
    bytes.release();
    refuse(context, fault.get());
  }

  private void release(ChannelHandlerContext context, Object message) {
    if (failed) {
      ReferenceCountUtil.release(message);
      return;
    }
    context.fireChannelRead(message);
  }

  private void refuse(ChannelHandlerContext context, FramingScanner.Fault fault) {
    DecoderResult failure = DecoderResult.failure(new DecoderException(fault.detail()));
    ChannelHandlerContext codec = context.pipeline().context(codecName);
    if (fault.inBody()) {
      DefaultLastHttpContent end = new DefaultLastHttpContent();
      end.setDecoderResult(failure);
      codec.fireChannelRead(end);
    } else {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
      request.setDecoderResult(failure);
      codec.fireChannelRead(request);
    }
    codec.fireChannelReadComplete();
  }
}
