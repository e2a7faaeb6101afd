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

/** What one writer after the other would get: the model that the VMs are compared with. */
final class SequentialConfig {
  private final ConfigRecordCodec codec = new ConfigRecordCodec(new ManifestCodec());
  private final Map<GatewayName, VersionedManifest> manifests = new HashMap<>();
  private final Map<Scope, Long> scopes = new HashMap<>();
  private final Set<Scope> out = new HashSet<>();
  private final Map<String, Long> accepted = new HashMap<>();
  private final Set<String> seen = new HashSet<>();
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

  boolean saw(String operation) {
    return seen.contains(operation);
  }

  /** Returns the version at which the operation was accepted, null if it was not. */
  Long accepted(String operation) {
    return accepted.get(operation);
  }

  void append(LogRecord landed) {
    try {
      ConfigRecord record = codec.decode(landed.payload());
      if (seen.add(record.operationId()) && change(record.change(), landed.offset())) {
        accepted.put(record.operationId(), landed.offset());
      }
    } catch (ManifestException e) {
      throw new AssertionError("record " + landed.offset() + " is malformed", e);
    }
    byVersion.put(landed.offset(), new Configuration(landed.offset(), manifests, out));
  }

  private boolean change(ConfigChange change, long offset) {
    return switch (change) {
      case ConfigChange.Publish(Manifest manifest) -> publish(manifest, offset);
      case ConfigChange.SetService set -> setService(set, offset);
    };
  }

  private boolean publish(Manifest manifest, long offset) {
    VersionedManifest standing = manifests.get(manifest.gateway());
    if (manifest.baseVersion() != (standing == null ? 0 : standing.version())) {
      return false;
    }
    manifests.put(manifest.gateway(), new VersionedManifest(offset, manifest));
    return true;
  }

  private boolean setService(ConfigChange.SetService set, long offset) {
    if (set.baseVersion() != -1 && set.baseVersion() != scopes.getOrDefault(set.scope(), 0L)) {
      return false;
    }
    scopes.put(set.scope(), offset);
    if (set.out()) {
      out.add(set.scope());
    } else {
      out.remove(set.scope());
    }
    return true;
  }
}
