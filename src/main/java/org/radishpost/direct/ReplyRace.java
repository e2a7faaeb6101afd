package org.radishpost.direct;

import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.function.Predicate;
import org.radishpost.http.Response;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Runs a call, and a second time after a while if there is no answer yet; the better answer counts.
 *
 * <p>A run that has ended is never cancelled, as that would close its connection; the one that is
 * not needed any more is. Confined to one thread.
 */
final class ReplyRace {
  private final MonoSink<Response> result;
  private final Predicate<Response> wins;
  private final BinaryOperator<Response> better;
  private final Run first = new Run();
  private final Run second = new Run();
  private Optional<Response> kept = Optional.empty();
  private boolean secondBegun;

  private ReplyRace(
      MonoSink<Response> result, Predicate<Response> wins, BinaryOperator<Response> better) {
    this.result = result;
    this.wins = wins;
    this.better = better;
  }

  /**
   * Returns the better answer of two runs.
   *
   * @param first the first run
   * @param delay ends when the second run should begin
   * @param second the second run; empty when it does not take place
   * @param wins whether an answer ends the race at once
   * @param better the better one of two answers that don't
   */
  static Mono<Response> of(
      Mono<Response> first,
      Mono<?> delay,
      Mono<Response> second,
      Predicate<Response> wins,
      BinaryOperator<Response> better) {
    return Mono.create(
        sink -> {
          ReplyRace race = new ReplyRace(sink, wins, better);
          sink.onDispose(race::dispose);
          first.subscribe(race.first);
          if (!race.first.ended) {
            delay.then(Mono.fromRunnable(race::beginSecond)).then(second).subscribe(race.second);
          }
        });
  }

  private void beginSecond() {
    secondBegun = true;
  }

  private void came(Response reply) {
    kept = Optional.of(kept.map(earlier -> better.apply(earlier, reply)).orElse(reply));
    if (wins.test(reply)) {
      result.success(kept.get());
    }
  }

  private void ended() {
    boolean over = first.ended && (second.ended || !secondBegun);
    if (over) {
      kept.ifPresentOrElse(result::success, result::success);
    }
  }

  private void dispose() {
    first.end();
    second.end();
  }

  private final class Run extends BaseSubscriber<Response> {
    private boolean ended;

    @Override
    protected void hookOnNext(Response reply) {
      ended = true;
      came(reply);
    }

    @Override
    protected void hookOnComplete() {
      ended = true;
      ReplyRace.this.ended();
    }

    @Override
    protected void hookOnError(Throwable error) {
      ended = true;
      result.error(error);
    }

    private void end() {
      if (!ended) {
        ended = true;
        dispose();
      }
    }
  }
}
