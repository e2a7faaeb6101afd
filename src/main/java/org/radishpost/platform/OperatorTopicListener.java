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
import org.radishpost.feed.FeedRecord;
import org.radishpost.feed.KeyedRecord;

/**
 * Creates configurations from the records of the operators' topic.
 *
 * <p>The version of the configuration never decreases during the lifetime of the process. A zone
 * that is out of service stays so when the store was restored from a copy without the record that
 * took it out, until a record of this zone is read again.
 */
final class OperatorTopicListener implements TopicListener {
  private final Consumer<Configuration> configurationListener;
  private final EventSink events;
  private final Set<Scope> outOfService = new HashSet<>();

  /** The zones that are out of service although the restored store has no record of them yet. */
  private final Set<Scope> awaitingRecord = new HashSet<>();

  private Optional<VersionedManifest> manifest = Optional.empty();

  OperatorTopicListener(Consumer<Configuration> configurationListener, EventSink events) {
    this.configurationListener = configurationListener;
    this.events = events;
  }

  @Override
  public List<KeyedRecord> onSnapshot(List<KeyedRecord> records) {
    outOfService.clear();
    outOfService.addAll(awaitingRecord);
    records.forEach(this::applyRecord);
    publishConfiguration();
    return records;
  }

  @Override
  public List<KeyedRecord> onRestoredSnapshot(List<KeyedRecord> records) {
    awaitingRecord.addAll(outOfService);
    return onSnapshot(records);
  }

  @Override
  public Optional<FeedRecord> onRecord(FeedRecord record) {
    if (record instanceof KeyedRecord keyed) {
      applyRecord(keyed);
      publishConfiguration();
    }
    return Optional.of(record);
  }

  private void applyRecord(KeyedRecord record) {
    if (record.key().startsWith(WireNames.EVACUATION_PREFIX)) {
      applyEvacuation(record);
    } else if (record.key().equals(WireNames.CONFIGURATION_KEY) && record.value().isPresent()) {
      applyDesiredState(record.value().get());
    }
  }

  private void applyEvacuation(KeyedRecord record) {
    String zone = record.key().substring(WireNames.EVACUATION_PREFIX.length());
    Scope scope = new Scope(Scope.Kind.ZONE, zone);
    awaitingRecord.remove(scope);
    if (record.value().isPresent()) {
      outOfService.add(scope);
    } else {
      outOfService.remove(scope);
    }
  }

  private void applyDesiredState(byte[] value) {
    try {
      VersionedManifest decoded = DesiredStateDecoder.decode(value);
      if (manifest.isEmpty() || decoded.version() > manifest.get().version()) {
        manifest = Optional.of(decoded);
      }
    } catch (PlatformDocumentException e) {
      events.emit(EventCode.CONFIG_UNREADABLE, EventField.of("why", e.getMessage()));
    }
  }

  private void publishConfiguration() {
    if (manifest.isEmpty()) {
      return;
    }
    VersionedManifest current = manifest.get();
    configurationListener.accept(
        new Configuration(
            current.version(),
            Map.of(current.manifest().gateway(), current),
            Set.copyOf(outOfService)));
  }
}
