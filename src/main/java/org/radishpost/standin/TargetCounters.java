package org.radishpost.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The counters of one target stand-in. Thread-safe. */
final class TargetCounters {
  final AtomicLong runs = new AtomicLong();
  final AtomicLong sheds = new AtomicLong();
  final AtomicLong cancels = new AtomicLong();
  final AtomicLong late = new AtomicLong();
  final AtomicLong crashes = new AtomicLong();
  final AtomicLong coldCrashes = new AtomicLong();
  final AtomicLong probes = new AtomicLong();
  final AtomicLong runsWhileDraining = new AtomicLong();
  final AtomicLong refusedConnections = new AtomicLong();
  final AtomicInteger connections = new AtomicInteger();
  final AtomicInteger maxConnections = new AtomicInteger();
  private final Map<String, AtomicLong> runsByKey = new ConcurrentHashMap<>();

  /** Counts a call when its execution starts. */
  void countRun(String idempotencyKey, boolean draining) {
    runs.incrementAndGet();
    if (draining) {
      runsWhileDraining.incrementAndGet();
    }
    if (idempotencyKey != null) {
      runsByKey.computeIfAbsent(idempotencyKey, unused -> new AtomicLong()).incrementAndGet();
    }
  }

  /** Returns the number of executions started for the idempotency key. */
  long runCount(String idempotencyKey) {
    AtomicLong count = runsByKey.get(idempotencyKey);
    return count == null ? 0 : count.get();
  }

  /** Returns a snapshot of the counters and of the slot usage. */
  TargetStats stats(SlotQueue slots) {
    return new TargetStats(
        slots.running(),
        slots.waiting(),
        slots.maxRunning(),
        runs.get(),
        sheds.get(),
        cancels.get(),
        late.get(),
        crashes.get(),
        coldCrashes.get(),
        probes.get(),
        runsWhileDraining.get(),
        connections.get(),
        maxConnections.get(),
        refusedConnections.get());
  }
}
