package org.radishpost.platform;

import java.time.Duration;
import java.util.Map;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetId;

/** Decodes what a target has written of itself into the store. */
final class TargetEntryDecoder {
  private static final String READY = "ready";
  private static final String DRAINING = "draining";

  private TargetEntryDecoder() {}

  /**
   * Decodes an entry.
   *
   * @param key the target's id, which the entry itself doesn't hold
   * @param regionsByZone the availability zones and their regions
   * @throws PlatformDocumentException if it names no target to use
   */
  static Target decode(String key, byte[] bytes, Map<ZoneName, RegionName> regionsByZone)
      throws PlatformDocumentException {
    Document entry = Document.parse("the entry of " + key, bytes);
    String state = entry.text("state");
    if (!state.equals(READY) && !state.equals(DRAINING)) {
      throw new PlatformDocumentException(
          "the entry of " + key + " has the state " + state + ": look at who wrote it.");
    }
    try {
      ZoneName zone = new ZoneName(entry.text("zone"));
      RegionName region = regionsByZone.get(zone);
      if (region == null) {
        throw new PlatformDocumentException(
            "the entry of " + key + " names an unknown zone: add it to the settings.");
      }
      return new Target(
          new TargetId(key),
          new ServiceName(entry.text("service")),
          Endpoint.parse(entry.text("address")),
          new Place(region, zone),
          Math.max(1, entry.integer("concurrency")),
          state.equals(DRAINING),
          entry.optionalSeconds("warmup-left-s").orElse(Duration.ZERO),
          (long) entry.number("born", 0));
    } catch (IllegalArgumentException e) {
      throw new PlatformDocumentException("the entry of " + key + ": " + e.getMessage(), e);
    }
  }
}
