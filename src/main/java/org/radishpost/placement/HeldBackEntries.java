package org.radishpost.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The entries that the registry has of targets that have left, and that may have been written
 * before. Confined to one thread.
 */
final class HeldBackEntries {
  /**
   * How long an entry is held back if nothing is written for its target. The registry deletes the
   * entry of a target after three heartbeat intervals of silence, so one that is still there
   * belongs to a target that runs.
   */
  static final long HOLD_BACK_NANOS = 10_000_000_000L;

  private final Map<TargetId, HeldBackEntry> entries = new HashMap<>();

  private record HeldBackEntry(Target entry, long untilNanos) {}

  /** Holds back an entry, unless one of the same target is held back already. */
  void add(Target entry, long nowNanos) {
    entries.putIfAbsent(entry.id(), new HeldBackEntry(entry, nowNanos + HOLD_BACK_NANOS));
  }

  /** Forgets the entry of a target. */
  void remove(TargetId id) {
    entries.remove(id);
  }

  /** Forgets the entries of all targets but the given ones. */
  void retainAll(Set<TargetId> ids) {
    entries.keySet().retainAll(ids);
  }

  /** Returns the entry of a target, or empty if none is held back. */
  Optional<Target> find(TargetId id) {
    return Optional.ofNullable(entries.get(id)).map(HeldBackEntry::entry);
  }

  /** Holds back all entries for the whole time once more. */
  void restart(long nowNanos) {
    entries.replaceAll((id, held) -> new HeldBackEntry(held.entry(), nowNanos + HOLD_BACK_NANOS));
  }

  /** Returns the entries that have been held back for long enough. */
  List<Target> due(long nowNanos) {
    return entries.values().stream()
        .filter(held -> nowNanos - held.untilNanos() >= 0)
        .map(HeldBackEntry::entry)
        .toList();
  }
}
