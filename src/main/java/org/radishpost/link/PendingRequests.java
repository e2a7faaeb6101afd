package org.radishpost.link;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import org.radishpost.errors.LinkException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Requests sent on one connection that have no response yet; thread-safe. */
final class PendingRequests {
  private final int maxPending;
  private final AtomicLong lastCorrelationId = new AtomicLong();
  private final Map<Long, Sinks.One<LinkMessage>> pending = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates an empty table.
   *
   * @param maxPending the maximum number of pending requests
   */
  PendingRequests(int maxPending) {
    this.maxPending = maxPending;
  }

  /**
   * Sends a request and returns its response.
   *
   * @param sender sends the request under the given correlation ID; returns false if the connection
   *     cannot take it
   * @return the response, or a {@link LinkException} if the request was not sent, the peer reported
   *     an error or the connection closed
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
                new LinkException(
                    "The link accepts no more messages now. Retry later or on another VM."));
          }
          return sink.asMono().doFinally(signal -> pending.remove(correlationId));
        });
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Returns whether the request has no response yet. */
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

  /** Fails all pending requests, and every later one. */
  void close() {
    closed = true;
    LinkException linkClosed =
        new LinkException(
            "The link was closed before the response arrived. Retry or use another VM.");
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
          "The peer's release does not support this message. Upgrade all VMs to the same release.";
      case BUSY -> "The peer has too many requests in progress. Retry later or on another VM.";
      case FAILED -> "The peer failed to handle the request. See the peer's log.";
    };
  }
}
