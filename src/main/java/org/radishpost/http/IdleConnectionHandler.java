package org.radishpost.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.BooleanSupplier;

/**
 * Closes a connection on which bytes arrive while no request awaits a response. The codec may not
 * make a message of them, and would put them before the next response.
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
    boolean idle = !awaitsResponse.getAsBoolean();
    context.fireChannelRead(message);
    if (idle) {
      context.close();
    }
  }
}
