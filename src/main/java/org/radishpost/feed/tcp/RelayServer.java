package org.radishpost.feed.tcp;

import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import org.radishpost.errors.StartException;
import org.radishpost.feed.FeedMessage;
import org.radishpost.feed.Relay;
import org.radishpost.feed.RelayDialer;
import org.radishpost.http.Listener;
import org.radishpost.lib.Endpoint;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/** Accepts connections from followers. Thread-safe after {@link #start()}. */
public final class RelayServer {
  /** Maximum unsent bytes per follower; larger than all records that a relay keeps. */
  private static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;

  private final Listener listener;
  private final Relay relay;
  private final Scheduler clock;
  private final LoopResources loops;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address the address to listen on
   * @param relay handles connections and messages
   * @param clock the scheduler that runs the relay
   * @param loops the event loop threads
   */
  public RelayServer(Endpoint address, Relay relay, Scheduler clock, LoopResources loops) {
    this.listener = new Listener(address);
    this.relay = relay;
    this.clock = clock;
    this.loops = loops;
  }

  /**
   * Starts listening.
   *
   * @return the address with the actual port
   * @throws StartException if the address is already in use
   */
  public Endpoint start() throws StartException {
    return listener.start(
        TcpServer.create()
            .runOn(loops)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
            .doOnConnection(this::accept));
  }

  /** Stops listening; existing connections stay open. */
  public void stop() {
    listener.stopAccepting();
  }

  private void accept(Connection connection) {
    TcpFeedLink link = new TcpFeedLink(connection);
    link.start(new FollowerListener(link), clock);
    clock.schedule(() -> relay.connected(link));
  }

  private final class FollowerListener implements RelayDialer.Listener {
    private final TcpFeedLink link;

    private FollowerListener(TcpFeedLink link) {
      this.link = link;
    }

    @Override
    public void received(FeedMessage message) {
      relay.received(link, message);
    }

    @Override
    public void closed() {
      relay.closed(link);
    }
  }
}
