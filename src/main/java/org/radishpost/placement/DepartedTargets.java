package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The targets that have left the directory recently. Confined to one thread. */
final class DepartedTargets {
  /** Longer than the age of the copies from which a registry is restored, which is some seconds. */
  static final long RETENTION_NANOS = 60_000_000_000L;

  private final Map<TargetId, Departure> departures = new HashMap<>();

  private record Departure(Target lastEntry, long nanos) {}

  /** Records that a target has left. */
  void add(Target lastEntry, long nowNanos) {
    departures.put(lastEntry.id(), new Departure(lastEntry, nowNanos));
  }

  /** Forgets a target, because it is back. */
  void remove(TargetId id) {
    departures.remove(id);
  }

  /** Forgets the targets that left more than {@link #RETENTION_NANOS} ago. */
  void removeOld(long nowNanos) {
    departures.values().removeIf(departure -> nowNanos - departure.nanos() > RETENTION_NANOS);
  }

  /** Returns the last entry of a target if it has left recently. */
  Optional<Target> lastEntry(TargetId id) {
    return Optional.ofNullable(departures.get(id)).map(Departure::lastEntry);
  }
}
