package org.radishpost.config;

import java.util.List;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestConflicts;
import org.radishpost.manifest.ManifestFault;
import org.radishpost.manifest.ManifestValidator;

/**
 * Decides whether a change is accepted. The decision depends only on the change and the state
 * before it.
 *
 * <p>Thread-safe. All VMs must make the same decision, so these rules are part of the protocol.
 */
public final class ConfigChangeRules {
  /** The base version of a change that applies regardless of the current version. */
  public static final long ANY_VERSION = -1;

  /** The maximum length of the name of a scope. */
  public static final int MAX_SCOPE_NAME_CHARS = 100;

  private final ManifestValidator validator;

  /**
   * Creates rules that check manifests with the given validator.
   *
   * @param validator the validator
   */
  public ConfigChangeRules(ManifestValidator validator) {
    this.validator = validator;
  }

  /** Returns the reasons to refuse the change in the given state, empty if it is accepted. */
  public List<String> refusalReasons(ConfigState before, ConfigChange change) {
    List<String> faults = faults(change);
    return faults.isEmpty() ? conflicts(before, change) : faults;
  }

  /**
   * Returns the reasons to refuse the change in this state and every later one, empty if the change
   * may still be accepted.
   */
  public List<String> permanentRefusalReasons(ConfigState now, ConfigChange change) {
    List<String> faults = faults(change);
    if (!faults.isEmpty()) {
      return faults;
    }
    boolean outdated =
        baseVersion(change) != ANY_VERSION && baseVersion(change) < currentVersion(now, change);
    return outdated ? conflicts(now, change) : List.of();
  }

  private List<String> faults(ConfigChange change) {
    return switch (change) {
      case ConfigChange.Publish publish -> manifestFaults(publish.manifest());
      case ConfigChange.SetService set -> scopeFaults(set);
    };
  }

  private List<String> manifestFaults(Manifest manifest) {
    return validator.faults(manifest).stream().map(ManifestFault::toString).toList();
  }

  private static List<String> scopeFaults(ConfigChange.SetService set) {
    String name = set.scope().name();
    if (name.isBlank() || name.length() > MAX_SCOPE_NAME_CHARS) {
      return List.of("scope.name: must have 1 to " + MAX_SCOPE_NAME_CHARS + " characters");
    }
    if (set.baseVersion() < ANY_VERSION) {
      return List.of("baseVersion: must be a version, 0 for none or -1 for any");
    }
    return List.of();
  }

  private static List<String> conflicts(ConfigState before, ConfigChange change) {
    if (change instanceof ConfigChange.Publish(Manifest manifest)
        && belongsToOtherTenant(before, manifest)) {
      return List.of("gateway: the name is taken by another tenant: choose another name");
    }
    long baseVersion = baseVersion(change);
    long currentVersion = currentVersion(before, change);
    if (baseVersion == ANY_VERSION && change instanceof ConfigChange.SetService
        || baseVersion == currentVersion) {
      return conflictsWithOtherGateways(before, change);
    }
    return List.of(
        "baseVersion: the change was made for version "
            + baseVersion
            + ", but version "
            + currentVersion
            + " is in force: read that one and make the change again");
  }

  private static List<String> conflictsWithOtherGateways(ConfigState before, ConfigChange change) {
    if (!(change instanceof ConfigChange.Publish(Manifest manifest))) {
      return List.of();
    }
    List<Manifest> otherManifests =
        before.manifests().values().stream()
            .map(VersionedManifest::manifest)
            .filter(other -> !other.gateway().equals(manifest.gateway()))
            .toList();
    return new ManifestConflicts()
        .faults(manifest, otherManifests).stream().map(ManifestFault::toString).toList();
  }

  private static boolean belongsToOtherTenant(ConfigState before, Manifest manifest) {
    VersionedManifest current = before.manifests().get(manifest.gateway());
    return current != null && !current.manifest().tenant().equals(manifest.tenant());
  }

  private static long baseVersion(ConfigChange change) {
    return switch (change) {
      case ConfigChange.Publish publish -> publish.manifest().baseVersion();
      case ConfigChange.SetService set -> set.baseVersion();
    };
  }

  private static long currentVersion(ConfigState state, ConfigChange change) {
    return switch (change) {
      case ConfigChange.Publish publish -> state.manifestVersion(publish.manifest().gateway());
      case ConfigChange.SetService set -> state.scopeVersion(set.scope());
    };
  }
}
