package org.radishpost.direct;

import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.function.Predicate;
import org.radishpost.http.Response;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Makes a second attempt at a request if the first one has no response after a delay, and returns
 * the better response.
 *
 * <p>Cancels an attempt that is no longer needed. Never cancels an attempt that has ended, because
 * that would close its connection. Confined to one thread.
 */
final class HedgedRequest {
  private final MonoSink<Response> result;
  private final Predicate<Response> successful;
  private final BinaryOperator<Response> preferred;
  private final Attempt first = new Attempt();
  private final Attempt second = new Attempt();
  private Optional<Response> best = Optional.empty();
  private boolean secondStarted;

  private HedgedRequest(
      MonoSink<Response> result,
      Predicate<Response> successful,
      BinaryOperator<Response> preferred) {
    this.result = result;
    this.successful = successful;
    this.preferred = preferred;
  }

  /**
   * Returns the better response of up to two attempts.
   *
   * @param first the first attempt
   * @param delay completes when the second attempt should start
   * @param second the second attempt; an empty publisher makes no second attempt
   * @param successful whether to use a response without waiting for the other attempt
   * @param preferred returns the better of two responses
   */
  static Mono<Response> of(
      Mono<Response> first,
      Mono<?> delay,
      Mono<Response> second,
      Predicate<Response> successful,
      BinaryOperator<Response> preferred) {
    return Mono.create(
        sink -> {
          HedgedRequest request = new HedgedRequest(sink, successful, preferred);
          sink.onDispose(request::dispose);
          first.subscribe(request.first);
          if (!request.first.ended) {
            delay
                .then(Mono.fromRunnable(request::startSecond))
                .then(second)
                .subscribe(request.second);
          }
        });
  }

  private void startSecond() {
    secondStarted = true;
  }

  private void attemptResponded(Response response) {
    best = Optional.of(best.map(earlier -> preferred.apply(earlier, response)).orElse(response));
    if (successful.test(response)) {
      result.success(best.get());
    }
  }

  private void attemptEnded() {
    boolean allEnded = first.ended && (second.ended || !secondStarted);
    if (allEnded) {
      best.ifPresentOrElse(result::success, result::success);
    }
  }

  private void dispose() {
    first.cancelIfRunning();
    second.cancelIfRunning();
  }

  private final class Attempt extends BaseSubscriber<Response> {
    private boolean ended;

    @Override
    protected void hookOnNext(Response response) {
      ended = true;
      attemptResponded(response);
    }

    @Override
    protected void hookOnComplete() {
      ended = true;
      HedgedRequest.this.attemptEnded();
    }

    @Override
    protected void hookOnError(Throwable error) {
      ended = true;
      result.error(error);
    }

    private void cancelIfRunning() {
      if (!ended) {
        ended = true;
        dispose();
      }
    }
  }
}
