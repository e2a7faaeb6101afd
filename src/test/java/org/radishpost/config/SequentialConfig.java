package org.radishpost.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.GatewayName;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.store.LogRecord;

/** The sequential specification of the configuration, with which VMs are compared. */
final class SequentialConfig {
  private final ConfigRecordCodec codec = new ConfigRecordCodec(new ManifestCodec());
  private final Map<GatewayName, VersionedManifest> manifests = new HashMap<>();
  private final Map<Scope, Long> scopeVersions = new HashMap<>();
  private final Set<Scope> outOfService = new HashSet<>();
  private final Map<String, Long> acceptedVersions = new HashMap<>();
  private final Set<String> seenOperations = new HashSet<>();
  private final TreeMap<Long, Configuration> byVersion = new TreeMap<>();

  SequentialConfig() {
    byVersion.put(0L, Configuration.EMPTY);
  }

  long version() {
    return byVersion.lastKey();
  }

  Configuration at(long version) {
    return byVersion.get(version);
  }

  boolean hasSeen(String operation) {
    return seenOperations.contains(operation);
  }

  /** Returns the version at which the operation was accepted, null if it was not accepted. */
  Long acceptedVersion(String operation) {
    return acceptedVersions.get(operation);
  }

  void append(LogRecord appended) {
    try {
      ConfigRecord record = codec.decode(appended.payload());
      if (seenOperations.add(record.operationId())
          && applyChange(record.change(), appended.offset())) {
        acceptedVersions.put(record.operationId(), appended.offset());
      }
    } catch (ManifestException e) {
      throw new AssertionError("record " + appended.offset() + " is malformed", e);
    }
    byVersion.put(appended.offset(), new Configuration(appended.offset(), manifests, outOfService));
  }

  private boolean applyChange(ConfigChange change, long offset) {
    return switch (change) {
      case ConfigChange.Publish(Manifest manifest) -> publish(manifest, offset);
      case ConfigChange.SetService set -> setServiceState(set, offset);
    };
  }

  private boolean publish(Manifest manifest, long offset) {
    VersionedManifest current = manifests.get(manifest.gateway());
    if (manifest.baseVersion() != (current == null ? 0 : current.version())) {
      return false;
    }
    manifests.put(manifest.gateway(), new VersionedManifest(offset, manifest));
    return true;
  }

  private boolean setServiceState(ConfigChange.SetService set, long offset) {
    if (set.baseVersion() != -1
        && set.baseVersion() != scopeVersions.getOrDefault(set.scope(), 0L)) {
      return false;
    }
    scopeVersions.put(set.scope(), offset);
    if (set.out()) {
      outOfService.add(set.scope());
    } else {
      outOfService.remove(set.scope());
    }
    return true;
  }
}
