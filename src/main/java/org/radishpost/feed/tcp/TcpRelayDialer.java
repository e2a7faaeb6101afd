package org.radishpost.feed.tcp;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.Optional;
import org.radishpost.feed.FeedLink;
import org.radishpost.feed.FeedMessage;
import org.radishpost.feed.RelayDialer;
import org.radishpost.http.NameResolution;
import org.radishpost.lib.Endpoint;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/** Opens TCP connections to relays. Confined to the clock's thread. */
public final class TcpRelayDialer implements RelayDialer {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private final Scheduler clock;
  private final LoopResources loops;

  /**
   * Creates a dialer without connections.
   *
   * @param clock the scheduler that runs the listeners
   * @param loops the event loop threads
   */
  public TcpRelayDialer(Scheduler clock, LoopResources loops) {
    this.clock = clock;
    this.loops = loops;
  }

  @Override
  public FeedLink dial(Endpoint relay, Listener listener) {
    PendingLink link = new PendingLink();
    NameResolution.disable(TcpClient.newConnection())
        .runOn(loops)
        .host(relay.ip())
        .port(relay.port())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .doOnConnected(connection -> new TcpFeedLink(connection).start(listener, clock))
        .connect()
        .publishOn(clock)
        .subscribe(link::connected, error -> listener.closed());
    return link;
  }

  /** A connection that may not be established yet; messages sent before then are discarded. */
  private static final class PendingLink implements FeedLink {
    private Optional<Connection> established = Optional.empty();
    private boolean closed;

    private void connected(Connection connection) {
      established = Optional.of(connection);
      if (closed) {
        connection.dispose();
      }
    }

    @Override
    public void send(FeedMessage message) {
      established.ifPresent(connection -> new TcpFeedLink(connection).send(message));
    }

    @Override
    public void close() {
      closed = true;
      established.ifPresent(Connection::dispose);
    }
  }
}
