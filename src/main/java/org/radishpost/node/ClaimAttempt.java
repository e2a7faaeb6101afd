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
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);

  private final ClaimService service;
  private final ClaimRequest request;
  private final Scheduler scheduler;
  private final long deadlineNanos;
  private final MonoSink<ClaimResult> sink;
  private final AtomicBoolean completed = new AtomicBoolean();
  private final Disposable.Composite tasks = Disposables.composite();

  ClaimAttempt(
      ClaimService service,
      ClaimRequest request,
      Duration timeout,
      Scheduler scheduler,
      MonoSink<ClaimResult> sink) {
    this.service = service;
    this.request = request;
    this.scheduler = scheduler;
    this.deadlineNanos = scheduler.now(TimeUnit.NANOSECONDS) + timeout.toNanos();
    this.sink = sink;
  }

  /** Asks the owner until there is an answer or the time is over. */
  void start() {
    sink.onCancel(this::onCancel);
    tasks.add(
        scheduler.schedule(
            this::completeUnavailable, Math.max(0, remainingNanos()), TimeUnit.NANOSECONDS));
    requestClaim();
  }

  private void requestClaim() {
    Duration remaining = Duration.ofNanos(remainingNanos());
    if (remaining.toMillis() <= 0) {
      return;
    }
    Duration requestTimeout =
        remaining.compareTo(REQUEST_TIMEOUT) < 0 ? remaining : REQUEST_TIMEOUT;
    tasks.add(
        service
            .claimFromOwner(request, remaining, requestTimeout)
            .publishOn(scheduler)
            .subscribe(this::onResult, error -> scheduleRetry(), () -> {}));
  }

  private void scheduleRetry() {
    tasks.add(scheduler.schedule(this::requestClaim, RETRY_DELAY.toNanos(), TimeUnit.NANOSECONDS));
  }

  private void onResult(ClaimResult result) {
    if (result instanceof ClaimResult.Unavailable || remainingNanos() <= 0) {
      completeUnavailable();
      return;
    }
    if (completed.compareAndSet(false, true)) {
      tasks.dispose();
      sink.success(result);
    }
  }

  private void completeUnavailable() {
    if (completed.compareAndSet(false, true)) {
      tasks.dispose();
      sink.success(new ClaimResult.Unavailable());
      service.withdraw(request);
    }
  }

  private void onCancel() {
    if (completed.compareAndSet(false, true)) {
      tasks.dispose();
      service.withdraw(request);
    }
  }

  private long remainingNanos() {
    return deadlineNanos - scheduler.now(TimeUnit.NANOSECONDS);
  }
}
