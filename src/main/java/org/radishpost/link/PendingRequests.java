package org.radishpost.link;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import org.radishpost.errors.LinkException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The asks of this end that wait for answers on one connection; thread-safe. */
final class PendingRequests {
  private final int maxPending;
  private final AtomicLong lastCorrelationId = new AtomicLong();
  private final Map<Long, Sinks.One<LinkMessage>> pending = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates one.
   *
   * @param maxPending the asks that may wait at once
   */
  PendingRequests(int maxPending) {
    this.maxPending = maxPending;
  }

  /**
   * Sends an ask and waits for its answer.
   *
   * @param sender sends it with the correlation given; false when it cannot
   */
  Mono<LinkMessage> send(LongPredicate sender) {
    return Mono.defer(
        () -> {
          long correlationId = lastCorrelationId.incrementAndGet();
          Sinks.One<LinkMessage> sink = Sinks.one();
          pending.put(correlationId, sink);
          if (pending.size() > maxPending || !sender.test(correlationId) || closed) {
            pending.remove(correlationId);
            return Mono.error(
                new LinkException("The link takes no more messages now. Ask another VM or later."));
          }
          return sink.asMono().doFinally(signal -> pending.remove(correlationId));
        });
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Tells whether an ask still waits for the answer. */
  boolean isPending(long correlationId) {
    return pending.containsKey(correlationId);
  }

  void complete(long correlationId, LinkMessage response) {
    Sinks.One<LinkMessage> sink = pending.remove(correlationId);
    if (sink != null) {
      sink.tryEmitValue(response);
    }
  }

  void completeWithError(long correlationId, Frame.ErrorCode errorCode) {
    fail(correlationId, new LinkException(message(errorCode)));
  }

  /** Fails all asks that wait, and all later ones. */
  void close() {
    closed = true;
    LinkException linkClosed =
        new LinkException("The link closed before the answer came. Ask again or another VM.");
    pending.keySet().forEach(correlationId -> fail(correlationId, linkClosed));
  }

  private void fail(long correlationId, LinkException cause) {
    Sinks.One<LinkMessage> sink = pending.remove(correlationId);
    if (sink != null) {
      sink.tryEmitError(cause);
    }
  }

  private static String message(Frame.ErrorCode errorCode) {
    return switch (errorCode) {
      case UNSUPPORTED ->
          "The peer's release does not know the message. Upgrade all VMs to one release.";
      case BUSY -> "The peer works on too many asks. Ask another VM or later.";
      case FAILED -> "The peer could not answer. Look at the peer's log.";
    };
  }
}
