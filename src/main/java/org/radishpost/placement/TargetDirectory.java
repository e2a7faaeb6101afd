package org.radishpost.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.ServiceName;

/**
 * The targets that have registered themselves.
 *
 * <p>Entries that lapse while the registry can't be reached say nothing about the targets: those
 * are kept until a moment after the registry is back, so that live ones can register anew; until
 * then they are used only if they have just said that they are well. Confined to one thread.
 */
public final class TargetDirectory {
  /** How long a target that is missing after the registry's return may take to be back. */
  public static final long REREGISTRATION_GRACE_NANOS = 2_200_000_000L;

  private final EventSink events;
  private final Map<TargetId, TrackedTarget> targets = new HashMap<>();
  private final Map<TargetId, Long> missingExpiryNanos = new HashMap<>();
  private boolean loaded;
  private boolean registryUnavailable;
  private long graceEndNanos;

  /** Creates a directory that has heard of no target. */
  public TargetDirectory(EventSink events) {
    this.events = events;
  }

  /** Takes a target's newest entry; tells whether it says anything new. */
  public boolean register(Target entry, long nowNanos) {
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

  /** Takes note that a target's entry is gone. */
  public void unregister(TargetId id, long nowNanos) {
    if (!targets.containsKey(id)) {
      return;
    }
    if (registryUnavailable || nowNanos - graceEndNanos < 0) {
      missingExpiryNanos.putIfAbsent(id, graceEndNanos);
      targets.get(id).setEntryMissing(true);
      return;
    }
    remove(id);
  }

  /** Takes all entries that there are; a target without one is unregistered. */
  public void replaceAll(Collection<Target> entries, long nowNanos) {
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

  /** Takes note that the registry doesn't answer. */
  public void registryUnavailable() {
    registryUnavailable = true;
  }

  /** Takes note that the registry answers again. */
  public void registryAvailable(long nowNanos) {
    if (!registryUnavailable) {
      return;
    }
    registryUnavailable = false;
    graceEndNanos = nowNanos + REREGISTRATION_GRACE_NANOS;
    missingExpiryNanos.replaceAll((id, expiryNanos) -> graceEndNanos);
  }

  /** Lets time pass: targets that are still missing when their grace is over are gone. */
  public void removeExpired(long nowNanos) {
    if (registryUnavailable || missingExpiryNanos.isEmpty()) {
      return;
    }
    for (Map.Entry<TargetId, Long> missing : List.copyOf(missingExpiryNanos.entrySet())) {
      if (nowNanos - missing.getValue() >= 0) {
        remove(missing.getKey());
      }
    }
  }

  /** Tells whether the registry has been read through once. */
  public boolean loaded() {
    return loaded;
  }

  /** Returns the targets of a service that take new work, but for those tried before. */
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

  /** Returns a target, if it is registered. */
  public Optional<TrackedTarget> find(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  /** Returns how many targets are registered. */
  public int size() {
    return targets.size();
  }

  private void remove(TargetId id) {
    missingExpiryNanos.remove(id);
    TrackedTarget removed = targets.remove(id);
    if (removed != null) {
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
