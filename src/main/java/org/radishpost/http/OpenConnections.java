package org.radishpost.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;

/** Counts the open connections to each address and tells when the last one is closed. */
final class OpenConnections {
  private final Map<Endpoint, Integer> counts = new ConcurrentHashMap<>();
  private final Sinks.Many<Endpoint> closed = Sinks.many().multicast().directBestEffort();

  void opened(Endpoint address, Connection connection) {
    counts.merge(address, 1, Integer::sum);
    connection.channel().closeFuture().addListener(future -> closed(address));
  }

  Flux<Endpoint> closed() {
    return closed.asFlux();
  }

  private void closed(Endpoint address) {
    Integer left = counts.computeIfPresent(address, (a, count) -> count == 1 ? null : count - 1);
    if (left == null) {
      synchronized (closed) {
        closed.tryEmitNext(address);
      }
    }
  }
}
