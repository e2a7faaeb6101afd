package org.radishpost.config;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The operations whose outcome is not yet known, with the requests that wait for it; not
 * thread-safe.
 *
 * <p>After a failed append, the record of an operation is appended again while at least one request
 * waits. This is safe because only the first record of an operation is effective.
 */
final class PendingPublishes {
  private static final int MAX_PENDING_OPERATIONS = 1000;

  private final ConfigReplicaOptions options;
  private final RandomGenerator random;
  private final Map<String, PendingOperation> operations = new LinkedHashMap<>();

  PendingPublishes(ConfigReplicaOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
  }

  /** Adds a request. The payload is used only if it is the first request of its operation. */
  List<ConfigAction> add(ConfigEvent.PublishRequested request, byte[] payload, long nowNanos) {
    String operationId = request.operationId();
    Waiter waiter = new Waiter(request.requestId(), nowNanos + request.timeout().toNanos());
    PendingOperation existing = operations.get(operationId);
    if (existing != null) {
      existing.waiters.add(waiter);
      return List.of();
    }
    if (operations.size() >= MAX_PENDING_OPERATIONS) {
      return List.of(
          new ConfigAction.ReportResult(
              request.requestId(), new PublishResult.Unknown(operationId)));
    }
    PendingOperation added =
        new PendingOperation(
            payload,
            new RetryBackoff(options.initialRetryPause(), options.maxRetryPause(), random));
    added.waiters.add(waiter);
    operations.put(operationId, added);
    return List.of(new ConfigAction.Append(operationId, payload));
  }

  /** Schedules another append of the operation after a failure. */
  void appendFailed(String operationId, long nowNanos) {
    PendingOperation operation = operations.get(operationId);
    if (operation != null) {
      operation.retryNanos = nowNanos + operation.backoff.nextPause().toNanos();
      operation.retryScheduled = true;
    }
  }

  /** Reports and removes all operations whose outcome is in the state. */
  List<ConfigAction> reportOutcomes(ConfigState state) {
    List<ConfigAction> actions = new ArrayList<>();
    operations
        .entrySet()
        .removeIf(
            entry ->
                state
                    .outcome(entry.getKey())
                    .map(
                        outcome -> actions.addAll(entry.getValue().reportResults(outcome.result())))
                    .isPresent());
    return actions;
  }

  /** Retries the appends that are due, and reports expired requests as unknown. */
  List<ConfigAction> tick(long nowNanos) {
    List<ConfigAction> actions = new ArrayList<>();
    Iterator<Map.Entry<String, PendingOperation>> entries = operations.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, PendingOperation> entry = entries.next();
      PendingOperation operation = entry.getValue();
      actions.addAll(operation.removeExpiredWaiters(entry.getKey(), nowNanos));
      if (operation.waiters.isEmpty()) {
        entries.remove();
      } else if (operation.retryScheduled && operation.retryNanos - nowNanos <= 0) {
        operation.retryScheduled = false;
        actions.add(new ConfigAction.Append(entry.getKey(), operation.payload));
      }
    }
    return actions;
  }

  private record Waiter(long requestId, long deadlineNanos) {}

  private static final class PendingOperation {
    private final byte[] payload;
    private final RetryBackoff backoff;
    private final List<Waiter> waiters = new ArrayList<>();
    private boolean retryScheduled;
    private long retryNanos;

    PendingOperation(byte[] payload, RetryBackoff backoff) {
      this.payload = payload;
      this.backoff = backoff;
    }

    List<ConfigAction> reportResults(PublishResult result) {
      return waiters.stream()
          .map(waiter -> (ConfigAction) new ConfigAction.ReportResult(waiter.requestId(), result))
          .toList();
    }

    List<ConfigAction> removeExpiredWaiters(String operationId, long nowNanos) {
      List<ConfigAction> actions = new ArrayList<>();
      waiters.removeIf(
          waiter -> {
            boolean expired = waiter.deadlineNanos() - nowNanos <= 0;
            if (expired) {
              PublishResult unknown = new PublishResult.Unknown(operationId);
              actions.add(new ConfigAction.ReportResult(waiter.requestId(), unknown));
            }
            return expired;
          });
      return actions;
    }
  }
}
