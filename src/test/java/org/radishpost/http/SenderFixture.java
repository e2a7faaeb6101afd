package org.radishpost.http;

import java.time.Duration;
import java.util.Optional;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/** A sender with the options of an entry, on threads of its own. */
final class SenderFixture implements AutoCloseable {
  static final int MAX_CONNECTIONS = 8;
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(20);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final LoopResources loops;
  private final Scheduler clock;
  private final HttpSender sender;

  /**
   * Creates a sender.
   *
   * @param threadName the prefix of the names of its threads
   */
  SenderFixture(String threadName) {
    loops = LoopResources.create(threadName, 1, true);
    clock = Schedulers.newSingle(threadName, true);
    sender =
        new HttpSender(
            new SenderOptions(
                "target",
                MAX_CONNECTIONS,
                MAX_IDLE_TIME,
                CONNECT_TIMEOUT,
                Optional.of("x-request-id"),
                true),
            clock,
            loops);
  }

  HttpSender sender() {
    return sender;
  }

  /** Waits until the only thread has returned the connections of earlier calls to their pool. */
  void awaitIdleConnections() throws Exception {
    loops.onClient(true).next().submit(() -> {}).get();
  }

  /** Closes the connections and threads. */
  @Override
  public void close() {
    sender.close().block();
    loops.disposeLater().block();
    clock.dispose();
  }
}
