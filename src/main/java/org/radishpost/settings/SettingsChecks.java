package org.radishpost.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.radishpost.errors.SettingsFault;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;

/** Checks that involve several members, which a JSON schema cannot express. */
final class SettingsChecks {
  private static final Set<String> WILDCARDS = Set.of("0.0.0.0", "::");

  private final NodeSettings settings;
  private final List<SettingsFault> faults = new ArrayList<>();

  private SettingsChecks(NodeSettings settings) {
    this.settings = settings;
  }

  static List<SettingsFault> faults(NodeSettings settings) {
    SettingsChecks checks = new SettingsChecks(settings);
    checks.checkListenAddresses();
    checks.checkPlatformAddress("platform.log", settings.platform().log());
    checks.checkPlatformAddress("platform.vmList", settings.platform().vmList());
    checks.checkSecrets();
    checks.checkLimits();
    return checks.faults;
  }

  private void checkListenAddresses() {
    List<Listener> listeners = listeners();
    for (int i = 0; i < listeners.size(); i++) {
      for (Listener earlier : listeners.subList(0, i)) {
        addIf(
            overlap(earlier.address(), listeners.get(i).address()),
            listeners.get(i).path(),
            "is the same address as " + earlier.path() + ": give each address its own port");
      }
    }
    addIf(
        isWildcard(settings.hop()),
        "hop",
        "specify the IP address for other VMs, not the wildcard");
    addIf(
        isWildcard(settings.link()),
        "link",
        "specify the IP address for other VMs, not the wildcard");
  }

  private void checkPlatformAddress(String path, Endpoint address) {
    addIf(address.port() == 0, path, "specify the port of the platform's service, not 0");
    addIf(isWildcard(address), path, "specify the IP address of the platform's service");
    for (Listener listener : listeners()) {
      addIf(
          overlap(listener.address(), address),
          path,
          "is the same address as " + listener.path() + ": specify that of the platform's service");
    }
  }

  private void checkSecrets() {
    addIf(
        settings.homeKeyEnv().filter(settings.linkKeyEnv()::equals).isPresent(),
        "homeKeyEnv",
        "names the same variable as linkKeyEnv: use one variable per key");
    Set<Digest> digests = new HashSet<>();
    for (int i = 0; i < settings.tokens().size(); i++) {
      addIf(
          !digests.add(settings.tokens().get(i).digest()),
          "tokens[" + i + "].digest",
          "is a duplicate: list all scopes of a token in one entry");
    }
  }

  private void checkLimits() {
    addIf(
        settings.limits().callerConnections() > settings.limits().connections(),
        "limits.callerConnections",
        "specify at most limits.connections");
  }

  private List<Listener> listeners() {
    return List.of(
        new Listener("edge", settings.edge()),
        new Listener("hop", settings.hop()),
        new Listener("link", settings.link()),
        new Listener("admin", settings.admin()));
  }

  private void addIf(boolean condition, String path, String message) {
    if (condition) {
      faults.add(new SettingsFault(path, message));
    }
  }

  private static boolean overlap(Endpoint one, Endpoint other) {
    return one.port() != 0
        && one.port() == other.port()
        && (one.ip().equals(other.ip()) || isWildcard(one) || isWildcard(other));
  }

  private static boolean isWildcard(Endpoint address) {
    return WILDCARDS.contains(address.ip());
  }

  /** An address on which the process listens, and its path in the settings. */
  private record Listener(String path, Endpoint address) {}
}
