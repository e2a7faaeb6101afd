package org.radishpost.claims;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.store.PlatformLog;

/** One VM's shard that carries out its actions at once, on the thread that asks. */
final class DirectClaims {
  private static final long FAR_NANOS = Long.MAX_VALUE;
  private static final AtomicLong ATTEMPTS = new AtomicLong();

  private final PlatformLog log;
  private final ClaimShard shard = new ClaimShard(0);
  private final Map<Long, ClaimAnswer> answers = new HashMap<>();
  private long nowNanos;
  private long asks;

  DirectClaims(PlatformLog log) {
    this.log = log;
  }

  static long nextAttempt() {
    return ATTEMPTS.incrementAndGet();
  }

  /** Takes a claim whose answer nobody waits for. */
  synchronized void put(ClaimRequest request) {
    shard.ask(++asks, request, FAR_NANOS);
  }

  /** Does what is due at a time. */
  synchronized void step(long timeNanos) {
    nowNanos = timeNanos;
    shard.advance(nowNanos).forEach(this::perform);
  }

  synchronized ClaimAnswer claim(ClaimRequest request) {
    long ask = ++asks;
    shard.ask(ask, request, FAR_NANOS);
    return finish(ask);
  }

  synchronized void end(ClaimRequest request, Optional<ClaimOutcome> outcome) {
    long ask = ++asks;
    shard.end(ask, request, outcome, FAR_NANOS);
    finish(ask);
  }

  private ClaimAnswer finish(long ask) {
    while (!answers.containsKey(ask)) {
      nowNanos += 1_000_000_000L;
      List<ClaimAction> actions = shard.advance(nowNanos);
      actions.forEach(this::perform);
    }
    return answers.remove(ask);
  }

  private void perform(ClaimAction action) {
    switch (action) {
      case ClaimAction.Append append ->
          log.append("claims-0", append.payload())
              .subscribe(shard::landed, error -> shard.appendUnknown(nowNanos));
      case ClaimAction.Read read ->
          log.read("claims-0", read.fromOffset(), read.maxRecords(), Duration.ZERO)
              .subscribe(page -> shard.read(page, nowNanos), e -> shard.readFailed(nowNanos));
      case ClaimAction.Answer answer -> answers.put(answer.ask(), answer.answer());
      case ClaimAction.EndRecorded end -> answers.put(end.ask(), new ClaimAnswer.Unavailable());
      case ClaimAction.ReportUnreadable unused -> {}
      case ClaimAction.ReportCut report -> throw new AssertionError(report);
    }
  }
}
