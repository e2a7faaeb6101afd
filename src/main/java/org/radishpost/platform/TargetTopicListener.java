package org.radishpost.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.feed.FeedRecord;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.RenewalRecord;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TargetId;
import reactor.core.scheduler.Scheduler;

/** Updates the target directory from the records of the targets' topic. */
final class TargetTopicListener implements TopicListener {
  private final TargetDirectory directory;
  private final Supplier<Map<ZoneName, RegionName>> regionsByZone;
  private final Scheduler clock;
  private final EventSink events;

  TargetTopicListener(
      TargetDirectory directory,
      Supplier<Map<ZoneName, RegionName>> regionsByZone,
      Scheduler clock,
      EventSink events) {
    this.directory = directory;
    this.regionsByZone = regionsByZone;
    this.clock = clock;
    this.events = events;
  }

  @Override
  public List<KeyedRecord> onSnapshot(List<KeyedRecord> records) {
    return without(directory.replaceAll(decode(records), nowNanos()), records);
  }

  @Override
  public List<KeyedRecord> onRestoredSnapshot(List<KeyedRecord> records) {
    return without(directory.restore(decode(records), nowNanos()), records);
  }

  private static List<KeyedRecord> without(Set<TargetId> unused, List<KeyedRecord> records) {
    Set<String> unusedKeys = unused.stream().map(TargetId::value).collect(Collectors.toSet());
    return records.stream().filter(record -> !unusedKeys.contains(record.key())).toList();
  }

  @Override
  public Optional<FeedRecord> onRecord(FeedRecord record) {
    return switch (record) {
      case KeyedRecord keyed -> onKeyedRecord(keyed);
      case RenewalRecord renewal -> {
        directory.renew(new TargetId(renewal.key()), renewal.sequence(), nowNanos());
        yield Optional.of(renewal);
      }
    };
  }

  private Optional<FeedRecord> onKeyedRecord(KeyedRecord record) {
    if (record.value().isEmpty()) {
      if (!record.key().isBlank()) {
        directory.unregister(new TargetId(record.key()), nowNanos());
      }
      return Optional.of(record);
    }
    Optional<Target> entry = decode(record);
    return entry.isPresent() ? onEntry(record, entry.get()) : Optional.of(record);
  }

  private Optional<FeedRecord> onEntry(KeyedRecord record, Target entry) {
    return switch (directory.register(entry, nowNanos())) {
      case CHANGED -> Optional.of(record);
      case RENEWED -> {
        long sequence = entry.version().sequence();
        yield Optional.of(new RenewalRecord(record.offset(), record.key(), sequence));
      }
      case SUPERSEDED -> Optional.empty();
    };
  }

  @Override
  public void onStoreLost() {
    directory.registryUnavailable();
  }

  @Override
  public void onStoreRegained() {
    directory.registryAvailable(nowNanos());
  }

  private List<Target> decode(List<KeyedRecord> records) {
    List<Target> targets = new ArrayList<>();
    records.forEach(record -> decode(record).ifPresent(targets::add));
    return targets;
  }

  private Optional<Target> decode(KeyedRecord record) {
    try {
      return Optional.of(
          TargetEntryDecoder.decode(
              record.key(), record.value().orElseThrow(), regionsByZone.get()));
    } catch (PlatformDocumentException e) {
      events.emit(EventCode.TARGET_ENTRY_UNREADABLE, EventField.of("why", e.getMessage()));
      return Optional.empty();
    }
  }

  private long nowNanos() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
