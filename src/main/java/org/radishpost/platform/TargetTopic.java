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

/** Brings the targets' entries from the store into the directory. */
final class TargetTopic implements TopicListener {
  private final TargetDirectory directory;
  private final Supplier<Map<ZoneName, RegionName>> zones;
  private final Scheduler clock;
  private final EventSink events;

  TargetTopic(
      TargetDirectory directory,
      Supplier<Map<ZoneName, RegionName>> zones,
      Scheduler clock,
      EventSink events) {
    this.directory = directory;
    this.zones = zones;
    this.clock = clock;
    this.events = events;
  }

  @Override
  public void newest(List<KeyedRecord> records) {
    List<Target> targets = new ArrayList<>();
    records.forEach(record -> decoded(record).ifPresent(targets::add));
    directory.replaceAll(targets, now());
  }

  @Override
  public boolean record(KeyedRecord record) {
    if (record.value().isEmpty()) {
      if (!record.key().isBlank()) {
        directory.unregister(new TargetId(record.key()), now());
      }
      return true;
    }
    return decoded(record).map(target -> directory.register(target, now())).orElse(true);
  }

  @Override
  public void storeLost() {
    directory.registryUnavailable();
  }

  @Override
  public void storeBack() {
    directory.registryAvailable(now());
  }

  private Optional<Target> decoded(KeyedRecord record) {
    try {
      return Optional.of(
          TargetEntry.decode(record.key(), record.value().orElseThrow(), zones.get()));
    } catch (PlatformDocumentException e) {
      events.emit(EventCode.TARGET_ENTRY_UNREADABLE, EventField.of("why", e.getMessage()));
      return Optional.empty();
    }
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
