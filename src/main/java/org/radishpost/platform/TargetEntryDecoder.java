package org.radishpost.platform;

import java.time.Duration;
import java.util.Map;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.EntryVersion;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetId;

/** Decodes the entry that a target has written to the store. */
final class TargetEntryDecoder {
  private static final String READY = "ready";
  private static final String DRAINING = "draining";

  private TargetEntryDecoder() {}

  /**
   * Decodes an entry.
   *
   * @param key the ID of the target, which the entry itself does not contain
   * @param bytes the entry, a JSON object
   * @param regionsByZone the region of each availability zone
   * @throws PlatformDocumentException if the entry is invalid or its zone is unknown
   */
  static Target decode(String key, byte[] bytes, Map<ZoneName, RegionName> regionsByZone)
      throws PlatformDocumentException {
    Document entry = Document.parse("the entry of target " + key, bytes);
    String state = entry.text("state");
    if (!state.equals(READY) && !state.equals(DRAINING)) {
      throw new PlatformDocumentException(
          "the entry of target "
              + key
              + " has the unknown state "
              + state
              + ": check the program that wrote it.");
    }
    try {
      ZoneName zone = new ZoneName(entry.text("zone"));
      RegionName region = regionsByZone.get(zone);
      if (region == null) {
        throw new PlatformDocumentException(
            "the entry of target " + key + " has an unknown zone: add the zone to the settings.");
      }
      return new Target(
          new TargetId(key),
          new ServiceName(entry.text("service")),
          address(entry),
          new Place(region, zone),
          Math.max(1, entry.integer("concurrency")),
          state.equals(DRAINING),
          entry.optionalSeconds("warmup-left-s").orElse(Duration.ZERO),
          version(entry));
    } catch (IllegalArgumentException e) {
      throw new PlatformDocumentException("the entry of target " + key + ": " + e.getMessage(), e);
    }
  }

  /** Returns the version of an entry; a number that is missing counts as 0. */
  private static EntryVersion version(Document entry) throws PlatformDocumentException {
    return new EntryVersion((long) entry.number("born", 0), (long) entry.number("sequence", 0));
  }

  private static Endpoint address(Document entry) throws PlatformDocumentException {
    Endpoint address = Endpoint.parse(entry.text("address"));
    if (address.port() == 0) {
      throw new IllegalArgumentException("port 0 is not in the range 1 to 65535");
    }
    return address;
  }
}
