package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/** A sender with the options of an entry, on threads of its own. */
final class SenderFixture implements AutoCloseable {
  static final int MAX_CONNECTIONS = 8;
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(20);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_BUFFERED_BYTES = 1_000_000;

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

  /**
   * Sends a request without a body, over the connection of the call before if it is open.
   *
   * @return the status and the body of the response, buffered as an entry does it, or the name of
   *     the exception
   */
  String call(Endpoint address, RequestHead head) throws Exception {
    awaitIdleConnections();
    return sender
        .send(address, head, CallBody.buffered(new byte[0]), RESPONSE_TIMEOUT)
        .flatMap(new ResponseBuffering(new ByteBudget(MAX_BUFFERED_BYTES))::bufferIfSmall)
        .flatMap(SenderFixture::text)
        .onErrorResume(
            RadishpostException.class, error -> Mono.just(error.getClass().getSimpleName()))
        .block(RESPONSE_TIMEOUT);
  }

  private static Mono<String> text(Response response) {
    return response.body().map(SenderFixture::take).reduce(response.status() + " ", String::concat);
  }

  private static String take(ByteBuf bytes) {
    try {
      return bytes.toString(StandardCharsets.ISO_8859_1);
    } finally {
      bytes.release();
    }
  }

  /** Closes the connections and threads. */
  @Override
  public void close() {
    sender.close().block();
    loops.disposeLater().block();
    clock.dispose();
  }
}
