package org.radishpost.config;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The operations whose outcome is not known yet, with those who wait for them; not thread-safe.
 *
 * <p>The record of an operation is appended again after a failure, as long as anybody waits: only
 * the first of several records of one operation counts.
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

  /** Adds one who waits; the payload matters for the first only. */
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
            payload, new Backoff(options.initialRetryPause(), options.maxRetryPause(), random));
    added.waiters.add(waiter);
    operations.put(operationId, added);
    return List.of(new ConfigAction.Append(operationId, payload));
  }

  /** Plans another append after a failure. */
  void appendFailed(String operationId, long nowNanos) {
    PendingOperation operation = operations.get(operationId);
    if (operation != null) {
      operation.retryNanos = nowNanos + operation.backoff.nextPause().toNanos();
      operation.retryScheduled = true;
    }
  }

  /** Answers everyone whose operation has an outcome in the state. */
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

  /** Appends again what is due, and answers those whose time is over. */
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
    private final Backoff backoff;
    private final List<Waiter> waiters = new ArrayList<>();
    private boolean retryScheduled;
    private long retryNanos;

    PendingOperation(byte[] payload, Backoff backoff) {
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
