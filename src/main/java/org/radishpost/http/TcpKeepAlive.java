package org.radishpost.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;
import reactor.netty.http.client.HttpClient;

/** Configures TCP keep-alive, which closes connections whose peer no longer responds. */
public final class TcpKeepAlive {
  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int PROBES = 2;

  private TcpKeepAlive() {}

  /**
   * Returns the client with keep-alive probes that detect an unresponsive peer within a few
   * seconds.
   */
  public static HttpClient enable(HttpClient client) {
    return client
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
  }
}
