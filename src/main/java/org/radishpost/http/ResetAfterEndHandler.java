package org.radishpost.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Holds the end of a peer's stream back until it is known whether the peer reset the connection
 * after it.
 *
 * <p>A process that closes a connection with unread bytes may send the end of the stream first and
 * the reset after it. No read shows such a reset, but a write fails after it. So this handler waits
 * for the reset, then writes an empty line, which a server ignores between requests (RFC 9112,
 * section 2.2). While it waits, the connection counts as open: a close or an error in that time is
 * what ends it. There is one instance per connection, placed before {@link ConnectionEndHandler}.
 */
final class ResetAfterEndHandler extends ChannelInboundHandlerAdapter {
  /**
   * The time from the end of the stream to the write. The reset follows the end at once, but a
   * process that waits for a processor between its two calls sends it some time slices later.
   */
  static final Duration RESET_WAIT = Duration.ofMillis(50);

  private static final byte[] EMPTY_LINE = "\r\n".getBytes(StandardCharsets.US_ASCII);

  private final BooleanSupplier isChecked;

  /**
   * Creates a handler for one connection.
   *
   * @param isChecked returns whether a reset after the end of the stream matters now
   */
  ResetAfterEndHandler(BooleanSupplier isChecked) {
    this.isChecked = isChecked;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && isChecked.getAsBoolean()) {
      context
          .executor()
          .schedule(() -> check(context, event), RESET_WAIT.toNanos(), TimeUnit.NANOSECONDS);
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  private static void check(ChannelHandlerContext context, Object event) {
    if (!context.channel().isActive()) {
      return;
    }
    ChannelFuture write = context.writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE));
    if (write.isSuccess()) {
      context.fireUserEventTriggered(event);
      return;
    }
    ConnectionEndHandler.recordEnd(context.channel(), endOf(write));
    context.close();
  }

  /** A write that does not end at once finds the buffers full of a request that nobody reads. */
  private static ResponseEnd endOf(ChannelFuture write) {
    return write.isDone() ? ResponseEnd.PEER_RESET_AFTER_END : ResponseEnd.PEER_CLOSED_EARLY;
  }
}
