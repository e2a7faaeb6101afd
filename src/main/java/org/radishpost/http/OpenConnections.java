package org.radishpost.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;

/**
 * Counts the open connections per address, and emits an address when its last connection closes.
 */
final class OpenConnections {
  private final Map<Endpoint, Integer> countByAddress = new ConcurrentHashMap<>();
  private final Sinks.Many<Endpoint> closedSink = Sinks.many().multicast().directBestEffort();

  void add(Endpoint address, Connection connection) {
    countByAddress.merge(address, 1, Integer::sum);
    connection.channel().closeFuture().addListener(future -> closedAddresses(address));
  }

  Flux<Endpoint> closedAddresses() {
    return closedSink.asFlux();
  }

  private void closedAddresses(Endpoint address) {
    Integer left =
        countByAddress.computeIfPresent(address, (a, count) -> count == 1 ? null : count - 1);
    if (left == null) {
      synchronized (closedSink) {
        closedSink.tryEmitNext(address);
      }
    }
  }
}
