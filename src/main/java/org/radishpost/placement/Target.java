package org.radishpost.placement;

import java.time.Duration;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.ServiceName;

/**
 * The registry entry of a target, written by the target itself.
 *
 * @param id the ID of the target
 * @param service the service that the target belongs to
 * @param address the address on which the target listens
 * @param place the region and zone in which the target runs
 * @param slots the maximum number of calls that the target runs at the same time
 * @param draining whether the target is shutting down and accepts no new calls
 * @param coldRemaining how long the target remains cold, counted from when the entry was written
 * @param version the version of the entry
 */
public record Target(
    TargetId id,
    ServiceName service,
    Endpoint address,
    Place place,
    int slots,
    boolean draining,
    Duration coldRemaining,
    EntryVersion version) {
  /** Returns when the target started, in milliseconds since 1970; 0 if unknown. */
  public long startedMillis() {
    return version.startedMillis();
  }

  /** Returns whether both entries were written by the same run of the same process. */
  public boolean sameIncarnation(Target other) {
    return id.equals(other.id)
        && startedMillis() == other.startedMillis()
        && address.equals(other.address)
        && service.equals(other.service);
  }

  /**
   * Returns whether another entry of the same target was written after this one. Of two entries of
   * the same version, the one that drains is the later one.
   */
  boolean isOlderThan(Target other) {
    int order = version.compareTo(other.version);
    return order < 0 || order == 0 && other.draining && !draining;
  }

  /** Returns whether both entries are equal but for their sequence numbers. */
  boolean equalsIgnoringSequence(Target other) {
    return withSequence(other.version.sequence()).equals(other);
  }

  /** Returns a copy of this entry with another sequence number. */
  Target withSequence(long sequence) {
    EntryVersion newVersion = new EntryVersion(startedMillis(), sequence);
    return new Target(id, service, address, place, slots, draining, coldRemaining, newVersion);
  }
}
