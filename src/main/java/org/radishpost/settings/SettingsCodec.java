package org.radishpost.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.radishpost.errors.MalformedJsonException;
import org.radishpost.errors.SettingsException;
import org.radishpost.errors.SettingsFault;
import org.radishpost.lib.StrictJson;

/**
 * Parses the settings of a process.
 *
 * <p>The JSON schema next to this class defines the members of the file and their defaults. All
 * faults of a validation step are reported together. Thread-safe.
 */
public final class SettingsCodec {
  private static final StrictJson.Bounds BOUNDS =
      new StrictJson.Bounds(512 * 1024, 8, 1_024, 50_000);

  private final StrictJson json = new StrictJson(BOUNDS);
  private final SettingsSchema schema = new SettingsSchema();

  /**
   * Parses settings.
   *
   * @throws SettingsException if the settings are invalid; the exception contains each fault with
   *     path and remedy, but never the value of a key or token
   */
  public NodeSettings decode(byte[] bytes) throws SettingsException {
    JsonNode tree = parse(bytes);
    throwIfAny(schema.faults(tree));
    schema.addDefaults(tree);
    SettingsReader reader = new SettingsReader(tree);
    throwIfAny(reader.faults());
    NodeSettings settings = reader.settings();
    throwIfAny(SettingsChecks.faults(settings));
    return settings;
  }

  private JsonNode parse(byte[] bytes) throws SettingsException {
    try {
      return json.read(bytes);
    } catch (MalformedJsonException e) {
      throw new SettingsException(e.getMessage(), e);
    }
  }

  private static void throwIfAny(List<SettingsFault> faults) throws SettingsException {
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
  }
}
