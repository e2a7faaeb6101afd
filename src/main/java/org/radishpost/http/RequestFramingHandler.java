package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * Validates the framing of requests before they are decoded, and times out slow senders.
 *
 * <p>Requests whose boundaries two parsers could see differently allow request smuggling. If such a
 * fault is in a body, this handler forwards the valid bytes before it; if it is in a head, the
 * handler drops the buffer that contains it. In both cases the handler then forwards a message
 * marked as failed and drops all further bytes. The responses to requests in earlier buffers are
 * therefore written before the refusal. If the request may already be running, the connection is
 * closed without a refusal. There is one instance per connection.
 */
final class RequestFramingHandler extends ChannelDuplexHandler {
  /** Channel attribute that is true after a framing fault within a request body. */
  private static final AttributeKey<Boolean> BODY_FAULT =
      AttributeKey.valueOf("radishpost-broken-body");

  private final FramingScanner scanner = new FramingScanner(new MessageKind.Requests());
  private final String codecName;
  private final Scheduler clock;
  private final SlowSenderTimeout slowSenderTimeout;
  private Disposable timer = Disposables.disposed();
  private boolean failed;

  /**
   * Creates a handler for one connection.
   *
   * @param codecName the name of the decoder in the pipeline
   * @param clock the clock for timeouts
   * @param slowSender the maximum time to receive a head, and the maximum pause within a body
   */
  RequestFramingHandler(String codecName, Scheduler clock, Duration slowSender) {
    this.codecName = codecName;
    this.clock = clock;
    this.slowSenderTimeout = new SlowSenderTimeout(slowSender);
  }

  /** Returns whether a framing fault occurred within a request body on the channel. */
  static boolean hasBodyFault(Channel channel) {
    return Boolean.TRUE.equals(channel.attr(BODY_FAULT).get());
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    scheduleCheck(context, slowSenderTimeout.remainingNanos(nowNanos()));
    context.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    timer.dispose();
    context.fireChannelInactive();
  }

  @Override
  public void read(ChannelHandlerContext context) {
    slowSenderTimeout.onReadRequested(nowNanos());
    context.read();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (failed || !(message instanceof ByteBuf bytes)) {
      forwardOrRelease(context, message);
      return;
    }
    Optional<FramingScanner.Fault> fault = scanner.scan(bytes);
    slowSenderTimeout.onBytesReceived(scanner.inHead(), scanner.inBody(), nowNanos());
    if (fault.isEmpty()) {
      context.fireChannelRead(bytes);
      return;
    }
    failed = true;
    int validBytes = fault.get().offset() - bytes.readerIndex();
    if (fault.get().inBody() && validBytes > 0) {
      context.fireChannelRead(bytes.readRetainedSlice(validBytes));
    }
    bytes.release();
    refuse(context, fault.get());
  }

  private void scheduleCheck(ChannelHandlerContext context, long delayNanos) {
    timer =
        clock.schedule(
            () -> context.executor().execute(() -> closeIfTooSlow(context)),
            delayNanos,
            TimeUnit.NANOSECONDS);
  }

  private void closeIfTooSlow(ChannelHandlerContext context) {
    if (!context.channel().isActive()) {
      return;
    }
    long remainingNanos = slowSenderTimeout.remainingNanos(nowNanos());
    if (remainingNanos <= 0) {
      context.close();
      return;
    }
    scheduleCheck(context, remainingNanos);
  }

  private long nowNanos() {
    return clock.now(TimeUnit.NANOSECONDS);
  }

  private void forwardOrRelease(ChannelHandlerContext context, Object message) {
    if (failed) {
      ReferenceCountUtil.release(message);
      return;
    }
    context.fireChannelRead(message);
  }

  private void refuse(ChannelHandlerContext context, FramingScanner.Fault fault) {
    context.channel().attr(BODY_FAULT).set(fault.inBody());
    if (fault.inBody() && ErrorResponseRewriter.mayRun(context.channel())) {
      context.close();
      return;
    }
    DecoderResult failure = DecoderResult.failure(new DecoderException(fault.reason().detail()));
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
