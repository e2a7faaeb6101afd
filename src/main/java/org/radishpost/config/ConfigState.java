package org.radishpost.config;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.radishpost.lib.GatewayName;
import org.radishpost.manifest.Manifest;

/**
 * The state after all records of the configuration stream up to one version; immutable.
 *
 * <p>All VMs with the same version have equal states, whether they received records or snapshots.
 *
 * @param version the offset of the last record applied, 0 for none
 * @param timeMillis the log time of that record
 * @param manifests the current manifests
 * @param scopes the last accepted change of each scope
 * @param operations the outcomes of the last operations by operation ID, oldest first
 */
public record ConfigState(
    long version,
    long timeMillis,
    Map<GatewayName, VersionedManifest> manifests,
    Map<Scope, ScopeState> scopes,
    Map<String, OperationOutcome> operations) {
  /** The maximum number of operation outcomes in a state. */
  public static final int MAX_OPERATIONS = 2048;

  /** The maximum number of VM scopes in a state. */
  public static final int MAX_VM_SCOPES = 4096;

  /** The state before the first record. */
  public static final ConfigState EMPTY = new ConfigState(0, 0, Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public ConfigState {
    manifests = Map.copyOf(manifests);
    scopes = Map.copyOf(scopes);
    operations = Collections.unmodifiableMap(new LinkedHashMap<>(operations));
  }

  /** Returns the outcome of an operation, if the state still contains it. */
  public Optional<OperationOutcome> outcome(String operationId) {
    return Optional.ofNullable(operations.get(operationId));
  }

  /** Returns the version of the gateway's manifest, 0 for none. */
  public long manifestVersion(GatewayName gateway) {
    VersionedManifest current = manifests.get(gateway);
    return current == null ? 0 : current.version();
  }

  /** Returns the version of the scope's last change, 0 for none. */
  public long scopeVersion(Scope scope) {
    ScopeState current = scopes.get(scope);
    return current == null ? 0 : current.version();
  }

  /** Returns the configuration that results from this state. */
  public Configuration configuration() {
    return new Configuration(
        version,
        manifests,
        scopes.entrySet().stream()
            .filter(entry -> entry.getValue().outOfService())
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet()));
  }

  /** Returns the state after a record that changes nothing. */
  ConfigState advancedTo(long offset, long logMillis) {
    return new ConfigState(offset, logMillis, manifests, scopes, operations);
  }

  /** Returns the state after an accepted change. */
  ConfigState withChange(ConfigChange change, long offset) {
    return switch (change) {
      case ConfigChange.Publish publish -> withManifest(publish.manifest(), offset);
      case ConfigChange.SetService set -> withScope(set, offset);
    };
  }

  /** Returns the state with the outcome added, without the oldest one if there are too many. */
  ConfigState withOutcome(OperationOutcome outcome) {
    LinkedHashMap<String, OperationOutcome> kept = new LinkedHashMap<>(operations);
    kept.put(outcome.operationId(), outcome);
    if (kept.size() > MAX_OPERATIONS) {
      kept.pollFirstEntry();
    }
    return new ConfigState(version, timeMillis, manifests, scopes, kept);
  }

  private ConfigState withManifest(Manifest manifest, long offset) {
    Map<GatewayName, VersionedManifest> changed = new HashMap<>(manifests);
    changed.put(manifest.gateway(), new VersionedManifest(offset, manifest));
    return new ConfigState(version, timeMillis, changed, scopes, operations);
  }

  private ConfigState withScope(ConfigChange.SetService set, long offset) {
    Map<Scope, ScopeState> changed = new HashMap<>(scopes);
    changed.put(set.scope(), new ScopeState(set.out(), offset));
    evictOldestVms(changed);
    return new ConfigState(version, timeMillis, manifests, changed, operations);
  }

  private static void evictOldestVms(Map<Scope, ScopeState> scopes) {
    TreeMap<Long, Scope> vms = new TreeMap<>();
    scopes.forEach(
        (scope, state) -> {
          if (scope.kind() == Scope.Kind.VM) {
            vms.put(state.version(), scope);
          }
        });
    while (vms.size() > MAX_VM_SCOPES) {
      scopes.remove(vms.pollFirstEntry().getValue());
    }
  }
}
