package org.radishpost.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.lib.ZoneName;
import org.radishpost.settings.EntryBounds;
import org.radishpost.settings.EntrySettings;

/** The settings file that the platform provides for a process. */
public final class SettingsFile {
  private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(1500);
  private static final double DEFAULT_RETRY_BUDGET_RATIO = 0.1;
  private static final double DEFAULT_RETRY_BUDGET_SLACK = 10;
  private static final double DEFAULT_GRACE_SECONDS = 5;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Path path;

  /** Creates a reference to the file at the given path; the file is not read yet. */
  public SettingsFile(Path path) {
    this.path = path;
  }

  /**
   * Returns the file whose path is given by the environment.
   *
   * @throws PlatformDocumentException if the environment variable is not set
   */
  public static SettingsFile fromEnvironment(Map<String, String> environment)
      throws PlatformDocumentException {
    String path = environment.get(WireNames.SETTINGS_VARIABLE);
    if (path == null) {
      throw new PlatformDocumentException(
          WireNames.SETTINGS_VARIABLE + " is not set: set it to the path of the settings file.");
    }
    return new SettingsFile(Path.of(path));
  }

  /**
   * Reads the content of the file.
   *
   * @throws PlatformDocumentException if the file cannot be read
   */
  public byte[] read() throws PlatformDocumentException {
    try {
      return Files.readAllBytes(path);
    } catch (IOException e) {
      throw new PlatformDocumentException("The settings file " + path + " cannot be read.", e);
    }
  }

  /**
   * Decodes the settings; unknown fields are ignored.
   *
   * @throws PlatformDocumentException if a required field is missing or a field has the wrong type
   */
  public static EntrySettings decode(byte[] bytes) throws PlatformDocumentException {
    Document file = Document.parse("settings", bytes);
    Document listen = file.object("listen");
    try {
      return new EntrySettings(
          new VmId(file.text("node-name")),
          Place.of(file.text("region"), file.text("zone")),
          Endpoint.parse(listen.text("front")),
          Endpoint.parse(listen.text("readiness")),
          listen.optionalText("control").filter(text -> !text.isBlank()).map(Endpoint::parse),
          relays(file),
          store(file),
          zones(file),
          bounds(file));
    } catch (IllegalArgumentException e) {
      throw new PlatformDocumentException("settings: " + e.getMessage(), e);
    }
  }

  /** Returns the addresses of the relays, which the platform lists as seeds. */
  private static List<Endpoint> relays(Document file) throws PlatformDocumentException {
    return file.textList("seeds").stream().map(Endpoint::parse).toList();
  }

  private static Optional<Endpoint> store(Document file) throws PlatformDocumentException {
    if (!file.has("provider")) {
      return Optional.empty();
    }
    return Optional.of(Endpoint.parse(file.object("provider").text("address")));
  }

  private static Map<ZoneName, RegionName> zones(Document file) throws PlatformDocumentException {
    Map<ZoneName, RegionName> zones = new HashMap<>();
    for (Map.Entry<String, String> zone : file.textMap("zones").entrySet()) {
      zones.put(new ZoneName(zone.getKey()), new RegionName(zone.getValue()));
    }
    return zones;
  }

  private static EntryBounds bounds(Document file) throws PlatformDocumentException {
    Map<String, Double> valuesByName = new HashMap<>();
    for (String bound : file.textList("bounds")) {
      int equals = bound.indexOf('=');
      if (equals > 0) {
        parseNumber(bound.substring(equals + 1))
            .ifPresent(value -> valuesByName.put(bound.substring(0, equals).strip(), value));
      }
    }
    double graceSeconds = valuesByName.getOrDefault("grace-s", DEFAULT_GRACE_SECONDS);
    return new EntryBounds(
        valuesByName.getOrDefault("retry-budget-ratio", DEFAULT_RETRY_BUDGET_RATIO),
        valuesByName.getOrDefault("budget-slack", DEFAULT_RETRY_BUDGET_SLACK),
        Duration.ofNanos((long) (graceSeconds * NANOS_PER_SECOND)),
        file.optionalSeconds("heartbeat-interval-s").orElse(DEFAULT_HEARTBEAT_INTERVAL));
  }

  /** Parses the value of a bound; empty for values that are not numbers, such as booleans. */
  private static Optional<Double> parseNumber(String text) {
    try {
      return Optional.of(Double.parseDouble(text.strip()));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
