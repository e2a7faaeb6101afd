package org.radishpost.claims;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.store.PlatformLog;

/** A shard whose actions are performed immediately on the calling thread. */
final class SynchronousClaims {
  private static final long NO_DEADLINE_NANOS = Long.MAX_VALUE;
  private static final AtomicLong LAST_ATTEMPT = new AtomicLong();

  private final PlatformLog log;
  private final ClaimShard shard = new ClaimShard(0);
  private final Map<Long, ClaimResult> results = new HashMap<>();
  private long nowNanos;
  private long lastRequestId;

  SynchronousClaims(PlatformLog log) {
    this.log = log;
  }

  static long nextAttempt() {
    return LAST_ATTEMPT.incrementAndGet();
  }

  /** Adds a claim without waiting for its result. */
  synchronized void submit(ClaimRequest request) {
    shard.claim(++lastRequestId, request, NO_DEADLINE_NANOS);
  }

  /** Sets the time and performs the actions that are due. */
  synchronized void advanceTo(long timeNanos) {
    nowNanos = timeNanos;
    shard.advance(nowNanos).forEach(this::perform);
  }

  synchronized ClaimResult claim(ClaimRequest request) {
    long requestId = ++lastRequestId;
    shard.claim(requestId, request, NO_DEADLINE_NANOS);
    return awaitResult(requestId);
  }

  synchronized void end(ClaimRequest request, Optional<ClaimOutcome> outcome) {
    long requestId = ++lastRequestId;
    shard.end(requestId, request, outcome, NO_DEADLINE_NANOS);
    awaitResult(requestId);
  }

  private ClaimResult awaitResult(long requestId) {
    while (!results.containsKey(requestId)) {
      nowNanos += 1_000_000_000L;
      List<ClaimAction> actions = shard.advance(nowNanos);
      actions.forEach(this::perform);
    }
    return results.remove(requestId);
  }

  private void perform(ClaimAction action) {
    switch (action) {
      case ClaimAction.Append append ->
          log.append("claims-0", append.payload())
              .subscribe(shard::appended, error -> shard.appendResultUnknown(nowNanos));
      case ClaimAction.Read read ->
          log.read("claims-0", read.fromOffset(), read.maxRecords(), Duration.ZERO)
              .subscribe(
                  page -> shard.readCompleted(page, nowNanos), e -> shard.readFailed(nowNanos));
      case ClaimAction.ReportResult report -> results.put(report.requestId(), report.result());
      case ClaimAction.ReportEndRecorded report ->
          results.put(report.requestId(), new ClaimResult.Unavailable());
      case ClaimAction.ReportUnreadableRecord unused -> {}
      case ClaimAction.ReportRecordsLost report -> throw new AssertionError(report);
    }
  }
}
