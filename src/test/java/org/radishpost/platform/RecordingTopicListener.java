package org.radishpost.platform;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.radishpost.feed.FeedRecord;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.RenewalRecord;

/** A listener that adds one line of text for each call to a queue. */
final class RecordingTopicListener implements TopicListener {
  private final Queue<String> received;

  RecordingTopicListener(Queue<String> received) {
    this.received = received;
  }

  @Override
  public List<KeyedRecord> onSnapshot(List<KeyedRecord> records) {
    received.add("newest" + text(records));
    return records;
  }

  @Override
  public List<KeyedRecord> onRestoredSnapshot(List<KeyedRecord> records) {
    received.add("restored" + text(records));
    return records;
  }

  @Override
  public Optional<FeedRecord> onRecord(FeedRecord record) {
    received.add(
        switch (record) {
          case KeyedRecord keyed -> text(keyed);
          case RenewalRecord renewal -> renewal.key() + " renewed " + renewal.sequence();
        });
    return Optional.of(record);
  }

  @Override
  public void onStoreLost() {
    received.add("lost");
  }

  @Override
  public void onStoreRegained() {
    received.add("back");
  }

  private static String text(List<KeyedRecord> records) {
    StringBuilder all = new StringBuilder();
    records.forEach(record -> all.append(' ').append(text(record)));
    return all.toString();
  }

  private static String text(KeyedRecord record) {
    return record
        .value()
        .map(value -> record.key() + "=" + new String(value))
        .orElse(record.key() + " dropped");
  }
}
