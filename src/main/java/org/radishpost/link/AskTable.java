package org.radishpost.link;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import org.radishpost.errors.LinkException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The asks of this end that wait for answers on one connection; thread-safe. */
final class AskTable {
  private final int most;
  private final AtomicLong correlations = new AtomicLong();
  private final Map<Long, Sinks.One<LinkMessage>> waiting = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates one.
   *
   * @param most the asks that may wait at once
   */
  AskTable(int most) {
    this.most = most;
  }

  /**
   * Sends an ask and waits for its answer.
   *
   * @param sender sends it with the correlation given; false when it cannot
   */
  Mono<LinkMessage> ask(LongPredicate sender) {
    return Mono.defer(
        () -> {
          long correlation = correlations.incrementAndGet();
          Sinks.One<LinkMessage> answer = Sinks.one();
          waiting.put(correlation, answer);
          if (waiting.size() > most || !sender.test(correlation) || closed) {
            waiting.remove(correlation);
            return Mono.error(
                new LinkException("The link takes no more messages now. Ask another VM or later."));
          }
          return answer.asMono().doFinally(signal -> waiting.remove(correlation));
        });
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Tells whether an ask still waits for the answer. */
  boolean waits(long correlation) {
    return waiting.containsKey(correlation);
  }

  void answer(long correlation, LinkMessage message) {
    Sinks.One<LinkMessage> ask = waiting.remove(correlation);
    if (ask != null) {
      ask.tryEmitValue(message);
    }
  }

  void refuse(long correlation, Frame.Refusal refusal) {
    fail(correlation, new LinkException(message(refusal)));
  }

  /** Fails all asks that wait, and all later ones. */
  void close() {
    closed = true;
    LinkException gone =
        new LinkException("The link closed before the answer came. Ask again or another VM.");
    waiting.keySet().forEach(correlation -> fail(correlation, gone));
  }

  private void fail(long correlation, LinkException cause) {
    Sinks.One<LinkMessage> ask = waiting.remove(correlation);
    if (ask != null) {
      ask.tryEmitError(cause);
    }
  }

  private static String message(Frame.Refusal refusal) {
    return switch (refusal) {
      case UNSUPPORTED ->
          "The peer's release does not know the message. Upgrade all VMs to one release.";
      case BUSY -> "The peer works on too many asks. Ask another VM or later.";
      case FAILED -> "The peer could not answer. Look at the peer's log.";
    };
  }
}
