package org.radishpost.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/**
 * One attempt on the side of the asker, which decides once: by an answer in time, or to give up.
 *
 * <p>Whatever arrives after the decision has no effect. An attempt that is given up is withdrawn
 * after that decision, so that no withdrawn attempt is ever sent.
 */
final class ClaimAttempt {
  private static final Duration ASK_LIMIT = Duration.ofSeconds(1);
  private static final Duration RETRY = Duration.ofMillis(50);

  private final ClaimService service;
  private final ClaimRequest request;
  private final Scheduler scheduler;
  private final long deadlineNanos;
  private final MonoSink<ClaimResult> sink;
  private final AtomicBoolean decided = new AtomicBoolean();
  private final Disposable.Composite running = Disposables.composite();

  ClaimAttempt(
      ClaimService service,
      ClaimRequest request,
      Duration limit,
      Scheduler scheduler,
      MonoSink<ClaimResult> sink) {
    this.service = service;
    this.request = request;
    this.scheduler = scheduler;
    this.deadlineNanos = scheduler.now(TimeUnit.NANOSECONDS) + limit.toNanos();
    this.sink = sink;
  }

  /** Asks the owner until there is an answer or the time is over. */
  void start() {
    sink.onCancel(this::abandon);
    running.add(scheduler.schedule(this::giveUp, Math.max(0, leftNanos()), TimeUnit.NANOSECONDS));
    ask();
  }

  private void ask() {
    Duration left = Duration.ofNanos(leftNanos());
    if (left.toMillis() <= 0) {
      return;
    }
    Duration patience = left.compareTo(ASK_LIMIT) < 0 ? left : ASK_LIMIT;
    running.add(
        service
            .askOwner(request, left, patience)
            .publishOn(scheduler)
            .subscribe(this::answered, error -> retry(), () -> {}));
  }

  private void retry() {
    running.add(scheduler.schedule(this::ask, RETRY.toNanos(), TimeUnit.NANOSECONDS));
  }

  private void answered(ClaimResult answer) {
    if (answer instanceof ClaimResult.Unavailable || leftNanos() <= 0) {
      giveUp();
      return;
    }
    if (decided.compareAndSet(false, true)) {
      running.dispose();
      sink.success(answer);
    }
  }

  private void giveUp() {
    if (decided.compareAndSet(false, true)) {
      running.dispose();
      sink.success(new ClaimResult.Unavailable());
      service.withdraw(request);
    }
  }

  private void abandon() {
    if (decided.compareAndSet(false, true)) {
      running.dispose();
      service.withdraw(request);
    }
  }

  private long leftNanos() {
    return deadlineNanos - scheduler.now(TimeUnit.NANOSECONDS);
  }
}
