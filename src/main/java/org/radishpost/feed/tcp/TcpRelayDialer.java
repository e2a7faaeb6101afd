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

/** Opens connections to relays over TCP; used by one thread, that of the clock. */
public final class TcpRelayDialer implements RelayDialer {
  private static final Duration CONNECT_LIMIT = Duration.ofMillis(400);

  private final Scheduler clock;
  private final LoopResources loops;

  /**
   * Creates it.
   *
   * @param clock the clock on whose thread listeners are told
   * @param loops the threads
   */
  public TcpRelayDialer(Scheduler clock, LoopResources loops) {
    this.clock = clock;
    this.loops = loops;
  }

  @Override
  public FeedLink dial(Endpoint relay, Listener listener) {
    Dialed dialed = new Dialed();
    NameResolution.disable(TcpClient.newConnection())
        .runOn(loops)
        .host(relay.ip())
        .port(relay.port())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_LIMIT.toMillis())
        .doOnConnected(connection -> new TcpFeedLink(connection).start(listener, clock))
        .connect()
        .publishOn(clock)
        .subscribe(dialed::opened, error -> listener.closed());
    return dialed;
  }

  /** A connection that may not be open yet. */
  private static final class Dialed implements FeedLink {
    private Optional<Connection> open = Optional.empty();
    private boolean unwanted;

    private void opened(Connection connection) {
      open = Optional.of(connection);
      if (unwanted) {
        connection.dispose();
      }
    }

    @Override
    public void send(FeedMessage message) {
      open.ifPresent(connection -> new TcpFeedLink(connection).send(message));
    }

    @Override
    public void close() {
      unwanted = true;
      open.ifPresent(Connection::dispose);
    }
  }
}
