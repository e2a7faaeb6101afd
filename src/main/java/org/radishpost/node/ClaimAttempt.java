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
 * A claim attempt, as seen by the requesting VM. It completes once: with a result that arrives
 * before the deadline, or as unavailable.
 *
 * <p>Results that arrive after completion are ignored. An attempt is withdrawn only after it has
 * completed as unavailable or was cancelled, so a withdrawn attempt is never sent to a target.
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

  /**
   * Requests the claim from the owner of the key until there is a result or the deadline passes.
   */
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
