package org.radishpost.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
 * <p>A registry that was restored from an earlier copy may lack the newest entries and still have
 * those of targets that have left. The former are treated as after an outage, the latter are held
 * back. Confined to one thread.
 */
public final class TargetDirectory {
  /** How long a target without an entry is kept after the registry becomes available again. */
  public static final long REREGISTRATION_GRACE_NANOS = 2_200_000_000L;

  /**
   * How long an entry of a departed target is held back if nothing is written for this target. The
   * registry deletes the entry of a target after three heartbeat intervals of silence, so one that
   * is still there belongs to a target that runs.
   */
  static final long HOLD_BACK_NANOS = 10_000_000_000L;

  private final EventSink events;
  private final Map<TargetId, TrackedTarget> targets = new HashMap<>();
  private final Map<TargetId, Long> missingExpiryNanos = new HashMap<>();
  private final DepartedTargets departed = new DepartedTargets();
  private final Map<TargetId, HeldBackEntry> heldBack = new HashMap<>();
  private boolean loaded;
  private boolean registryUnavailable;
  private long graceEndNanos;

  private record HeldBackEntry(Target entry, long untilNanos) {}

  /** Creates an empty directory that emits an event for each change of a target. */
  public TargetDirectory(EventSink events) {
    this.events = events;
  }

  /**
   * Adds a target or updates it from its newest entry.
   *
   * @return whether the entry changed the directory
   */
  public boolean register(Target entry, long nowNanos) {
    heldBack.remove(entry.id());
    departed.remove(entry.id());
    boolean wasMissing = missingExpiryNanos.remove(entry.id()) != null;
    TrackedTarget known = targets.get(entry.id());
    if (known == null) {
      targets.put(entry.id(), new TrackedTarget(entry, nowNanos));
      emit(EventCode.TARGET_REGISTERED, entry);
      return true;
    }
    final boolean changed = wasMissing || !entry.equals(known.target());
    if (entry.draining() && !known.target().draining()) {
      emit(EventCode.TARGET_LEAVING, entry);
    }
    known.update(entry, nowNanos);
    known.setEntryMissing(false);
    return changed;
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
   * Registers all given entries and unregisters all targets without one. An entry that is held back
   * stays so.
   */
  public void replaceAll(Collection<Target> entries, long nowNanos) {
    Set<TargetId> ids = entries.stream().map(Target::id).collect(Collectors.toSet());
    heldBack.keySet().retainAll(ids);
    List<Target> applicable = entries.stream().filter(entry -> !isHeldBack(entry)).toList();
    replaceAllExceptHeldBack(applicable, nowNanos);
  }

  private void replaceAllExceptHeldBack(Collection<Target> entries, long nowNanos) {
    loaded = true;
    Map<TargetId, Target> byId = new HashMap<>();
    entries.forEach(entry -> byId.put(entry.id(), entry));
    for (TargetId known : List.copyOf(targets.keySet())) {
      if (!byId.containsKey(known)) {
        unregister(known, nowNanos);
      }
    }
    byId.values().forEach(entry -> register(entry, nowNanos));
  }

  private boolean isHeldBack(Target entry) {
    HeldBackEntry held = heldBack.get(entry.id());
    return held != null && entry.startedMillis() <= held.entry().startedMillis();
  }

  /**
   * Applies all entries of a registry that was restored from an earlier copy, which starts the
   * grace period. Entries that are older than what is known do not take it back.
   */
  public void restore(Collection<Target> entries, long nowNanos) {
    registryUnavailable();
    registryAvailable(nowNanos);
    Map<RestoredEntryUse, List<Target>> byUse =
        entries.stream().collect(Collectors.groupingBy(this::restoredEntryUse));
    for (Target entry : byUse.getOrDefault(RestoredEntryUse.HOLD_BACK, List.of())) {
      heldBack.put(entry.id(), new HeldBackEntry(entry, nowNanos + HOLD_BACK_NANOS));
    }
    replaceAllExceptHeldBack(byUse.getOrDefault(RestoredEntryUse.APPLY, List.of()), nowNanos);
  }

  private RestoredEntryUse restoredEntryUse(Target entry) {
    return RestoredEntryUse.of(entry, knownEntry(entry.id()), departed.lastEntry(entry.id()));
  }

  private Optional<Target> knownEntry(TargetId id) {
    return find(id).map(TrackedTarget::target);
  }

  /** Registers the entries that have been held back for long enough; called periodically. */
  public void registerHeldBack(long nowNanos) {
    for (HeldBackEntry held : List.copyOf(heldBack.values())) {
      if (nowNanos - held.untilNanos() >= 0) {
        register(held.entry(), nowNanos);
      }
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
