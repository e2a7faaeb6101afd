package org.radishpost.node;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
import org.radishpost.claims.Claims;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.PlatformLog;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Faulty variants of the claim protocol, made by wrapping its interfaces. */
final class ClaimMutations {
  private ClaimMutations() {}

  /** Treats each append as the next record, without reading the records that precede it. */
  static PlatformLog withoutReadBack(PlatformLog log) {
    return new PageMutatingLog(log) {
      private final Map<String, Long> next = new ConcurrentHashMap<>();

      @Override
      public Mono<LogRecord> append(String stream, byte[] payload) {
        return log.append(stream, payload)
            .map(appended -> new LogRecord(advance(stream), appended.timeMillis(), payload));
      }

      @Override
      LogPage mutate(String stream, long fromOffset, LogPage page) {
        long last = page.records().isEmpty() ? fromOffset : page.records().getLast().offset() + 1;
        next.merge(stream, Math.max(last, page.earliestOffset()), Math::max);
        return page;
      }

      private long advance(String stream) {
        return next.merge(stream, 1L, Long::sum) - 1;
      }
    };
  }

  /** Skips the retained records: treats the end of the stream at the first read as its start. */
  static PlatformLog withoutRetainedRecords(PlatformLog log) {
    return new PageMutatingLog(log) {
      @Override
      LogPage mutate(String stream, long fromOffset, LogPage page) {
        return fromOffset > 1
            ? page
            : new LogPage(java.util.List.of(), page.nextOffset(), page.nextOffset(), 0, 0);
      }
    };
  }

  /** Ignores that records have expired. */
  static PlatformLog withoutHorizon(PlatformLog log) {
    return new PageMutatingLog(log) {
      @Override
      LogPage mutate(String stream, long fromOffset, LogPage page) {
        return new LogPage(
            page.records(), page.earliestOffset(), page.nextOffset(), page.timeMillis(), 0);
      }
    };
  }

  /** Withdraws the claim after the call was sent, instead of completing it. */
  static Claims withdrawingAfterSend(Claims claims) {
    return new Claims() {
      @Override
      public Mono<ClaimResult> claim(ClaimRequest request, Duration limit) {
        return claims.claim(request, limit);
      }

      @Override
      public void complete(ClaimRequest request, ClaimOutcome outcome) {
        claims.withdraw(request);
      }

      @Override
      public void withdraw(ClaimRequest request) {
        claims.withdraw(request);
      }
    };
  }

  /** Withdraws the claim at the timeout, but still uses a grant that arrives later. */
  static Claims usingLateGrants(Claims claims, VirtualTimeScheduler time) {
    return new Claims() {
      @Override
      public Mono<ClaimResult> claim(ClaimRequest request, Duration limit) {
        Sinks.One<ClaimResult> result = Sinks.one();
        claims.claim(request, limit.multipliedBy(10)).subscribe(result::tryEmitValue);
        Mono<ClaimResult> afterTimeout =
            Mono.defer(
                () -> {
                  claims.withdraw(request);
                  return result.asMono();
                });
        return result.asMono().timeout(limit, afterTimeout, time);
      }

      @Override
      public void complete(ClaimRequest request, ClaimOutcome outcome) {
        claims.complete(request, outcome);
      }

      @Override
      public void withdraw(ClaimRequest request) {
        claims.withdraw(request);
      }
    };
  }

  /** A log that changes the pages that are read. */
  private abstract static class PageMutatingLog implements PlatformLog {
    private final PlatformLog log;

    PageMutatingLog(PlatformLog log) {
      this.log = log;
    }

    abstract LogPage mutate(String stream, long fromOffset, LogPage page);

    @Override
    public Mono<LogRecord> append(String stream, byte[] payload) {
      return log.append(stream, payload);
    }

    @Override
    public Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait) {
      return log.read(stream, fromOffset, maxRecords, wait)
          .map(page -> mutate(stream, fromOffset, page));
    }
  }
}
