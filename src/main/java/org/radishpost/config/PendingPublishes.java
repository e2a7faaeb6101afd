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
  private static final int MAX_PENDING = 1000;

  private final ConfigReplicaOptions options;
  private final RandomGenerator random;
  private final Map<String, Pending> pending = new LinkedHashMap<>();

  PendingPublishes(ConfigReplicaOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
  }

  /** Adds one who waits; the payload matters for the first only. */
  List<ConfigAction> add(ConfigEvent.PublishAsked asked, byte[] payload, long nowNanos) {
    String operation = asked.operationId();
    Waiter waiter = new Waiter(asked.ticket(), nowNanos + asked.limit().toNanos());
    Pending known = pending.get(operation);
    if (known != null) {
      known.waiters.add(waiter);
      return List.of();
    }
    if (pending.size() >= MAX_PENDING) {
      return List.of(new ConfigAction.Answer(asked.ticket(), new PublishResult.Unknown(operation)));
    }
    Pending added =
        new Pending(payload, new Backoff(options.retryPause(), options.retryMost(), random));
    added.waiters.add(waiter);
    pending.put(operation, added);
    return List.of(new ConfigAction.Append(operation, payload));
  }

  /** Plans another append after a failure. */
  void failed(String operation, long nowNanos) {
    Pending known = pending.get(operation);
    if (known != null) {
      known.retryNanos = nowNanos + known.backoff.failed().toNanos();
      known.retrying = true;
    }
  }

  /** Answers everyone whose operation has an outcome in the state. */
  List<ConfigAction> resolve(ConfigState state) {
    List<ConfigAction> actions = new ArrayList<>();
    pending
        .entrySet()
        .removeIf(
            entry ->
                state
                    .outcome(entry.getKey())
                    .map(outcome -> actions.addAll(entry.getValue().answers(outcome.result())))
                    .isPresent());
    return actions;
  }

  /** Appends again what is due, and answers those whose time is over. */
  List<ConfigAction> tick(long nowNanos) {
    List<ConfigAction> actions = new ArrayList<>();
    Iterator<Map.Entry<String, Pending>> entries = pending.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Pending> entry = entries.next();
      Pending known = entry.getValue();
      actions.addAll(known.expire(entry.getKey(), nowNanos));
      if (known.waiters.isEmpty()) {
        entries.remove();
      } else if (known.retrying && known.retryNanos - nowNanos <= 0) {
        known.retrying = false;
        actions.add(new ConfigAction.Append(entry.getKey(), known.payload));
      }
    }
    return actions;
  }

  private record Waiter(long ticket, long deadlineNanos) {}

  private static final class Pending {
    private final byte[] payload;
    private final Backoff backoff;
    private final List<Waiter> waiters = new ArrayList<>();
    private boolean retrying;
    private long retryNanos;

    Pending(byte[] payload, Backoff backoff) {
      this.payload = payload;
      this.backoff = backoff;
    }

    List<ConfigAction> answers(PublishResult result) {
      return waiters.stream()
          .map(waiter -> (ConfigAction) new ConfigAction.Answer(waiter.ticket(), result))
          .toList();
    }

    List<ConfigAction> expire(String operation, long nowNanos) {
      List<ConfigAction> actions = new ArrayList<>();
      waiters.removeIf(
          waiter -> {
            boolean over = waiter.deadlineNanos() - nowNanos <= 0;
            if (over) {
              PublishResult unknown = new PublishResult.Unknown(operation);
              actions.add(new ConfigAction.Answer(waiter.ticket(), unknown));
            }
            return over;
          });
      return actions;
    }
  }
}
