package org.radishpost.node;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.radishpost.errors.SettingsException;
import org.radishpost.settings.NodeSettings;

/**
 * The keys of a VM process. They are never printed.
 *
 * @param linkKey the key shared by all VMs; the array must not be modified
 * @param homeKey the key for digests of calls with home regions, empty if this VM has none; the
 *     array must not be modified
 */
public record NodeSecrets(byte[] linkKey, byte[] homeKey) {
  private static final int MIN_SECRET_CHARS = 32;

  /**
   * Reads the keys from the environment variables that are named in the settings.
   *
   * @throws SettingsException if a variable is missing or too short
   */
  public static NodeSecrets fromEnvironment(NodeSettings settings, Map<String, String> environment)
      throws SettingsException {
    byte[] link = secret(settings.linkKeyEnv(), environment);
    byte[] home =
        settings.homeKeyEnv().isPresent()
            ? secret(settings.homeKeyEnv().get(), environment)
            : new byte[0];
    return new NodeSecrets(link, home);
  }

  private static byte[] secret(String name, Map<String, String> environment)
      throws SettingsException {
    String value = environment.getOrDefault(name, "");
    if (value.length() < MIN_SECRET_CHARS) {
      throw new SettingsException(
          "The environment variable "
              + name
              + " is missing or too short: set it to at least "
              + MIN_SECRET_CHARS
              + " random characters.");
    }
    return value.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public String toString() {
    return "NodeSecrets[hidden]";
  }
}
