package org.radishpost.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.feed.KeyedRecord;
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
  public void onSnapshot(List<KeyedRecord> records) {
    directory.replaceAll(decode(records), nowNanos());
  }

  @Override
  public void onRestoredSnapshot(List<KeyedRecord> records) {
    directory.restore(decode(records), nowNanos());
  }

  @Override
  public boolean onRecord(KeyedRecord record) {
    if (record.value().isEmpty()) {
      if (!record.key().isBlank()) {
        directory.unregister(new TargetId(record.key()), nowNanos());
      }
      return true;
    }
    return decode(record).map(target -> directory.register(target, nowNanos())).orElse(true);
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
