package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.BooleanSupplier;

/**
 * Closes a connection on which bytes arrive while no request awaits a response, also in the segment
 * of the end of a response. The codec may not make a message of them, and would put them before the
 * next response.
 *
 * <p>There is one instance per connection, placed before the codec.
 */
final class IdleConnectionHandler extends ChannelInboundHandlerAdapter {
  private final BooleanSupplier awaitsResponse;

  /**
   * Creates a handler for one connection.
   *
   * @param awaitsResponse returns whether a request awaits a response
   */
  IdleConnectionHandler(BooleanSupplier awaitsResponse) {
    this.awaitsResponse = awaitsResponse;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      read(context, bytes);
    } else {
      context.fireChannelRead(message);
    }
  }

  private void read(ChannelHandlerContext context, ByteBuf bytes) {
    boolean wasIdle = !awaitsResponse.getAsBoolean();
    bytes.retain();
    try {
      context.fireChannelRead(bytes);
      if (wasIdle || !awaitsResponse.getAsBoolean() && isKeptByCodec(bytes)) {
        context.close();
      }
    } finally {
      bytes.release();
    }
  }

  /** The codec keeps the bytes that it has not read in the buffer that it was given. */
  private static boolean isKeptByCodec(ByteBuf bytes) {
    return bytes.isReadable() && bytes.refCnt() > 1;
  }
}
