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

/** Listens for VMs that may follow this one. Thread-safe after {@link #start()}. */
public final class RelayServer {
  /** What may wait for a follower that doesn't read; more than all records that are kept. */
  private static final int MAX_WAITING_BYTES = 4 * 1024 * 1024;

  private final Listener listener;
  private final Relay relay;
  private final Scheduler clock;
  private final LoopResources loops;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address where it listens
   * @param relay told of connections and messages
   * @param clock the clock on whose thread the relay is told
   * @param loops the threads
   */
  public RelayServer(Endpoint address, Relay relay, Scheduler clock, LoopResources loops) {
    this.listener = new Listener(address);
    this.relay = relay;
    this.clock = clock;
    this.loops = loops;
  }

  /**
   * Starts to listen.
   *
   * @return the address with the port in use
   * @throws StartException if the address is taken
   */
  public Endpoint start() throws StartException {
    return listener.start(
        TcpServer.create()
            .runOn(loops)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(MAX_WAITING_BYTES / 2, MAX_WAITING_BYTES))
            .doOnConnection(this::accept));
  }

  /** Stops listening; connections end with their ends. */
  public void stop() {
    listener.stopAccepting();
  }

  private void accept(Connection connection) {
    TcpFeedLink link = new TcpFeedLink(connection);
    link.start(new Follows(link), clock);
    clock.schedule(() -> relay.connected(link));
  }

  private final class Follows implements RelayDialer.Listener {
    private final TcpFeedLink link;

    private Follows(TcpFeedLink link) {
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
