package org.radishpost.placement;

import java.time.Duration;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.ServiceName;

/** Creates registry entries of targets for tests. */
public final class TestTargets {
  private TestTargets() {}

  /** Returns a warm target that accepts calls. */
  public static Target ready(String id) {
    return at(id, Place.of("k", "k-a"));
  }

  /** Returns a warm target that accepts calls in the given zone. */
  public static Target at(String id, Place place) {
    return target(id, place, false, Duration.ZERO);
  }

  /** Returns a target that is shutting down. */
  public static Target draining(String id) {
    return target(id, Place.of("k", "k-a"), true, Duration.ZERO);
  }

  /** Returns a target that remains cold for the given time. */
  public static Target cold(String id, Duration coldRemaining) {
    return target(id, Place.of("k", "k-a"), false, coldRemaining);
  }

  /** Returns the same target in a run that started at another time. */
  public static Target startedAt(Target target, long startedMillis) {
    return withVersion(target, startedMillis, 0);
  }

  /** Returns an entry of the same target in the given run and with the given sequence number. */
  public static Target withVersion(Target target, long startedMillis, long sequence) {
    return new Target(
        target.id(),
        target.service(),
        target.address(),
        target.place(),
        target.slots(),
        target.draining(),
        target.coldRemaining(),
        new EntryVersion(startedMillis, sequence));
  }

  /** Returns a warm target that accepts calls at the given address. */
  public static Target listeningAt(Endpoint address) {
    return target("t", address, Place.of("k", "k-a"), false, Duration.ZERO);
  }

  private static Target target(String id, Place place, boolean draining, Duration coldRemaining) {
    Endpoint address = new Endpoint("10.0.0.1", 1000 + Math.floorMod(id.hashCode(), 10_000));
    return target(id, address, place, draining, coldRemaining);
  }

  private static Target target(
      String id, Endpoint address, Place place, boolean draining, Duration coldRemaining) {
    return new Target(
        new TargetId(id),
        new ServiceName("s"),
        address,
        place,
        2,
        draining,
        coldRemaining,
        new EntryVersion(0, 0));
  }
}
