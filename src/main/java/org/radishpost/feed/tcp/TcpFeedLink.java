package org.radishpost.feed.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.radishpost.errors.LinkException;
import org.radishpost.feed.FeedCodec;
import org.radishpost.feed.FeedLink;
import org.radishpost.feed.FeedMessage;
import org.radishpost.feed.RelayDialer;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;

/** One end of an established connection; thread-safe. */
final class TcpFeedLink implements FeedLink {
  private static final Logger LOG = LogManager.getLogger("radishpost");
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  private final Connection connection;
  private final Channel channel;

  TcpFeedLink(Connection connection) {
    this.connection = connection;
    this.channel = connection.channel();
  }

  /** Starts reading; the listener is called on the thread of {@code clock}. */
  void start(RelayDialer.Listener listener, Scheduler clock) {
    connection.addHandlerLast(
        new LengthFieldBasedFrameDecoder(
            MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
    connection
        .inbound()
        .receive()
        .asByteArray()
        .publishOn(clock)
        .subscribe(
            bytes -> received(bytes, listener), error -> listener.closed(), listener::closed);
  }

  private void received(byte[] frame, RelayDialer.Listener listener) {
    try {
      listener.received(FeedCodec.decode(frame));
    } catch (LinkException e) {
      LOG.warn("Closing the connection to {}: {}", channel.remoteAddress(), e.getMessage());
      close();
    }
  }

  @Override
  public void send(FeedMessage message) {
    if (!channel.isWritable()) {
      close();
      return;
    }
    byte[] body = FeedCodec.encode(message);
    ByteBuf length = Unpooled.buffer(LENGTH_FIELD_BYTES).writeInt(body.length);
    channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(body)));
  }

  @Override
  public void close() {
    connection.dispose();
  }
}
