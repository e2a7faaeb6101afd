package org.radishpost.node;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.radishpost.errors.SettingsException;
import org.radishpost.settings.NodeSettings;

/**
 * The secrets of a process; never printed.
 *
 * @param linkKey the key shared by all VMs; not to be changed
 * @param homeKey the key for digests of calls with home regions; not to be changed
 */
public record NodeSecrets(byte[] linkKey, byte[] homeKey) {
  private static final int MIN_SECRET_CHARS = 32;

  /**
   * Reads the secrets from the environment variables that the settings name.
   *
   * @throws SettingsException if one is missing or too short
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
              + " holds no key: set it to at least "
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
