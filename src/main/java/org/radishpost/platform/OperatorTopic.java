package org.radishpost.platform;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.config.VersionedManifest;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.feed.KeyedRecord;

/**
 * Brings what the operators want from the store into the configuration in force.
 *
 * <p>A version never falls within the life of a process.
 */
final class OperatorTopic implements TopicListener {
  private final Consumer<Configuration> inForce;
  private final EventSink events;
  private final Set<Scope> out = new HashSet<>();
  private Optional<VersionedManifest> manifest = Optional.empty();

  OperatorTopic(Consumer<Configuration> inForce, EventSink events) {
    this.inForce = inForce;
    this.events = events;
  }

  @Override
  public void newest(List<KeyedRecord> records) {
    out.clear();
    records.forEach(this::take);
    apply();
  }

  @Override
  public boolean record(KeyedRecord record) {
    take(record);
    apply();
    return true;
  }

  private void take(KeyedRecord record) {
    if (record.key().startsWith(WireNames.EVACUATION_PREFIX)) {
      evacuation(record);
    } else if (record.key().equals(WireNames.CONFIGURATION_KEY) && record.value().isPresent()) {
      desired(record.value().get());
    }
  }

  private void evacuation(KeyedRecord record) {
    String zone = record.key().substring(WireNames.EVACUATION_PREFIX.length());
    Scope scope = new Scope(Scope.Kind.ZONE, zone);
    if (record.value().isPresent()) {
      out.add(scope);
    } else {
      out.remove(scope);
    }
  }

  private void desired(byte[] value) {
    try {
      VersionedManifest newest = DesiredState.decode(value);
      if (manifest.isEmpty() || newest.version() > manifest.get().version()) {
        manifest = Optional.of(newest);
      }
    } catch (PlatformDocumentException e) {
      events.emit(EventCode.CONFIG_UNREADABLE, EventField.of("why", e.getMessage()));
    }
  }

  private void apply() {
    if (manifest.isEmpty()) {
      return;
    }
    VersionedManifest newest = manifest.get();
    inForce.accept(
        new Configuration(
            newest.version(), Map.of(newest.manifest().gateway(), newest), Set.copyOf(out)));
  }
}
