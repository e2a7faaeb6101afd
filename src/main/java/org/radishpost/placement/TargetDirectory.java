package org.radishpost.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.ServiceName;

/**
 * The targets that are registered in the target registry.
 *
 * <p>While the registry is unavailable, targets cannot renew their entries, so the entries of
 * healthy targets expire too. Targets without an entry are therefore kept during an outage and for
 * a grace period after it, in which they can register again. Until then, calls are sent to such a
 * target only if it has recently reported its load.
 *
 * <p>An entry that is older than what is known of its target, by its {@link EntryVersion}, is not
 * used, whichever way it arrives: the registry may carry out a write late, or be restored from an
 * earlier copy. If the target has left, its entry is held back until a newer one arrives, or until
 * it has been there for so long that the target must still run. A restored registry may lack the
 * newest entries, which is treated as after an outage. Confined to one thread.
 */
public final class TargetDirectory {
  /** How long a target without an entry is kept after the registry becomes available again. */
  public static final long REREGISTRATION_GRACE_NANOS = 2_200_000_000L;

  private final EventSink events;
  private final Map<TargetId, TrackedTarget> targets = new HashMap<>();
  private final Map<TargetId, Long> missingExpiryNanos = new HashMap<>();
  private final DepartedTargets departed = new DepartedTargets();
  private final HeldBackEntries heldBack = new HeldBackEntries();
  private boolean loaded;
  private boolean registryUnavailable;
  private long graceEndNanos;

  /** Creates an empty directory that emits an event for each change of a target. */
  public TargetDirectory(EventSink events) {
    this.events = events;
  }

  /**
   * Adds a target or updates it from an entry that was written, unless the entry is superseded.
   *
   * @return what the entry means for the directory
   */
  public EntryEffect register(Target entry, long nowNanos) {
    if (isSuperseded(entry)) {
      ignore(entry, nowNanos);
      return EntryEffect.SUPERSEDED;
    }
    return apply(entry, nowNanos);
  }

  /**
   * Raises the sequence number of a target's entry, which the target has written again without
   * another change.
   */
  public void renew(TargetId id, long sequence, long nowNanos) {
    knownEntry(id)
        .or(() -> heldBack.find(id))
        .ifPresent(entry -> register(entry.withSequence(sequence), nowNanos));
  }

  /** Returns whether an entry was written before the newest one that is known of its target. */
  private boolean isSuperseded(Target entry) {
    Optional<Target> known = knownEntry(entry.id());
    if (known.isPresent()) {
      return entry.isOlderThan(known.get());
    }
    return departed
        .lastEntry(entry.id())
        .filter(last -> entry.version().compareTo(last.version()) <= 0)
        .isPresent();
  }

  /** Leaves what is known as it is; the target proves with a newer entry that it runs. */
  private void ignore(Target entry, long nowNanos) {
    if (!targets.containsKey(entry.id())) {
      heldBack.add(entry, nowNanos);
    }
    events.emit(
        EventCode.TARGET_ENTRY_SUPERSEDED,
        EventField.of("target", entry.id()),
        EventField.of("started", entry.startedMillis()),
        EventField.of("sequence", entry.version().sequence()));
  }

  private EntryEffect apply(Target entry, long nowNanos) {
    heldBack.remove(entry.id());
    departed.remove(entry.id());
    boolean wasMissing = missingExpiryNanos.remove(entry.id()) != null;
    TrackedTarget known = targets.get(entry.id());
    if (known == null) {
      targets.put(entry.id(), new TrackedTarget(entry, nowNanos));
      emit(EventCode.TARGET_REGISTERED, entry);
      return EntryEffect.CHANGED;
    }
    final boolean changed = wasMissing || !entry.equalsIgnoringSequence(known.target());
    if (entry.draining() && !known.target().draining()) {
      emit(EventCode.TARGET_LEAVING, entry);
    }
    known.update(entry, nowNanos);
    known.setEntryMissing(false);
    return changed ? EntryEffect.CHANGED : EntryEffect.RENEWED;
  }

  /** Removes a target whose entry is gone; during an outage only after the grace period. */
  public void unregister(TargetId id, long nowNanos) {
    heldBack.remove(id);
    if (!targets.containsKey(id)) {
      return;
    }
    if (registryUnavailable || nowNanos - graceEndNanos < 0) {
      missingExpiryNanos.putIfAbsent(id, graceEndNanos);
      targets.get(id).setEntryMissing(true);
      return;
    }
    remove(id, nowNanos);
  }

  /**
   * Registers all given entries and unregisters all targets without one. A superseded entry counts
   * as none: the target may have left since.
   *
   * @return the targets whose entries are superseded
   */
  public Set<TargetId> replaceAll(Collection<Target> entries, long nowNanos) {
    loaded = true;
    Map<Boolean, List<Target>> bySuperseded =
        entries.stream().collect(Collectors.partitioningBy(this::isSuperseded));
    List<Target> superseded = bySuperseded.get(true);
    List<Target> current = bySuperseded.get(false);
    heldBack.retainAll(ids(superseded));
    unregisterAllExcept(ids(current), nowNanos);
    superseded.forEach(entry -> ignore(entry, nowNanos));
    current.forEach(entry -> apply(entry, nowNanos));
    return ids(superseded);
  }

  /**
   * Applies all entries of a registry that was restored from an earlier copy, which starts the
   * grace period. Entries that are older than what is known do not take it back.
   *
   * @return the targets whose entries take back what is known
   */
  public Set<TargetId> restore(Collection<Target> entries, long nowNanos) {
    loaded = true;
    registryUnavailable();
    registryAvailable(nowNanos);
    Map<RestoredEntryUse, List<Target>> byUse =
        entries.stream().collect(Collectors.groupingBy(this::restoredEntryUse));
    List<Target> applied = byUse.getOrDefault(RestoredEntryUse.APPLY, List.of());
    List<Target> heldBackNow = byUse.getOrDefault(RestoredEntryUse.HOLD_BACK, List.of());
    Set<TargetId> registered = ids(applied);
    registered.addAll(ids(byUse.getOrDefault(RestoredEntryUse.KEEP_KNOWN, List.of())));
    heldBack.retainAll(ids(heldBackNow));
    unregisterAllExcept(registered, nowNanos);
    heldBackNow.forEach(entry -> heldBack.add(entry, nowNanos));
    applied.forEach(entry -> apply(entry, nowNanos));
    Set<TargetId> unused = ids(entries);
    unused.removeAll(registered);
    return unused;
  }

  private void unregisterAllExcept(Set<TargetId> ids, long nowNanos) {
    for (TargetId known : List.copyOf(targets.keySet())) {
      if (!ids.contains(known)) {
        unregister(known, nowNanos);
      }
    }
  }

  private static Set<TargetId> ids(Collection<Target> entries) {
    return entries.stream().map(Target::id).collect(Collectors.toCollection(HashSet::new));
  }

  private RestoredEntryUse restoredEntryUse(Target entry) {
    RestoredEntryUse use =
        RestoredEntryUse.of(entry, knownEntry(entry.id()), departed.lastEntry(entry.id()));
    boolean wasRemoved = missingExpiryNanos.containsKey(entry.id());
    return use == RestoredEntryUse.KEEP_KNOWN && wasRemoved ? RestoredEntryUse.IGNORE : use;
  }

  private Optional<Target> knownEntry(TargetId id) {
    return find(id).map(TrackedTarget::target);
  }

  /**
   * Registers the entries that have been held back for long enough; called periodically. The
   * removal of an entry is not seen while the registry is unavailable.
   */
  public void registerHeldBack(long nowNanos) {
    if (!registryUnavailable) {
      heldBack.due(nowNanos).forEach(entry -> apply(entry, nowNanos));
    }
  }

  /** Records that the registry does not respond. */
  public void registryUnavailable() {
    registryUnavailable = true;
  }

  /** Records that the registry responds again, which starts the grace period. */
  public void registryAvailable(long nowNanos) {
    if (!registryUnavailable) {
      return;
    }
    registryUnavailable = false;
    graceEndNanos = nowNanos + REREGISTRATION_GRACE_NANOS;
    missingExpiryNanos.replaceAll((id, expiryNanos) -> graceEndNanos);
    heldBack.restart(nowNanos);
  }

  /** Removes the targets whose entries are still missing at the end of the grace period. */
  public void removeExpired(long nowNanos) {
    departed.removeOld(nowNanos);
    if (registryUnavailable || missingExpiryNanos.isEmpty()) {
      return;
    }
    for (Map.Entry<TargetId, Long> missing : List.copyOf(missingExpiryNanos.entrySet())) {
      if (nowNanos - missing.getValue() >= 0) {
        remove(missing.getKey(), nowNanos);
      }
    }
  }

  /** Returns whether all entries of the registry have been read at least once. */
  public boolean loaded() {
    return loaded;
  }

  /** Returns the targets of a service that accept new calls, except those already tried. */
  public List<TrackedTarget> serving(ServiceName service, Set<TargetId> tried) {
    List<TrackedTarget> found = new ArrayList<>();
    for (TrackedTarget tracked : targets.values()) {
      Target target = tracked.target();
      if (target.service().equals(service) && !target.draining() && !tried.contains(target.id())) {
        found.add(tracked);
      }
    }
    return found;
  }

  /** Returns the target with the ID, or empty if the directory does not contain it. */
  public Optional<TrackedTarget> find(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  /** Returns the target at an address, or empty if the directory contains none. */
  public Optional<TrackedTarget> findAt(Endpoint address) {
    return targets.values().stream()
        .filter(tracked -> tracked.target().address().equals(address))
        .findFirst();
  }

  /** Returns the number of targets in the directory. */
  public int size() {
    return targets.size();
  }

  private void remove(TargetId id, long nowNanos) {
    missingExpiryNanos.remove(id);
    TrackedTarget removed = targets.remove(id);
    if (removed != null) {
      departed.add(removed.target(), nowNanos);
      emit(EventCode.TARGET_GONE, removed.target());
    }
  }

  private void emit(EventCode code, Target target) {
    events.emit(
        code,
        EventField.of("target", target.id()),
        EventField.of("service", target.service()),
        EventField.of("address", target.address()),
        EventField.of("zone", target.place().zone()));
  }
}
