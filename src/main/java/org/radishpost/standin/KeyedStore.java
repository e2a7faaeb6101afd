package org.radishpost.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The keyed topics of the stand-in for the platform's store, kept in memory. Thread-safe.
 *
 * <p>The offsets of each topic start at 0. Records are kept until {@link #compact} is called. The
 * store can be restored from an earlier backup: the records since are lost, their offsets are given
 * out again, and the next era begins.
 */
public final class KeyedStore {
  private static final long FIRST_ERA = 1;

  private final Map<String, Topic> topics = new HashMap<>();
  private long era = FIRST_ERA;

  /** Creates an empty store. */
  public KeyedStore() {}

  /** Appends a record that sets the value of a key. */
  public synchronized void put(String topic, String key, String value) {
    topic(topic).append(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Appends a record that deletes a key. */
  public synchronized void delete(String topic, String key) {
    topic(topic).append(key, Optional.empty());
  }

  /**
   * Deletes the record history of a topic. The newest record of each key stays available through
   * {@link #newestRecords}.
   */
  public synchronized void compact(String topic) {
    Topic compacted = topic(topic);
    compacted.firstOffset += compacted.records.size();
    compacted.records.clear();
  }

  /** Returns a backup of all topics. */
  public synchronized Backup backup() {
    return new Backup(copyOf(topics));
  }

  /** Replaces all topics by those of the backup and starts the next era. */
  public synchronized void restore(Backup backup) {
    topics.clear();
    topics.putAll(copyOf(backup.topics));
    era++;
  }

  private static Map<String, Topic> copyOf(Map<String, Topic> topics) {
    Map<String, Topic> copy = new HashMap<>();
    topics.forEach((name, topic) -> copy.put(name, topic.copy()));
    return copy;
  }

  /** Returns the offset of the next record that is appended to the topic. */
  public synchronized long endOffset(String topic) {
    return topic(topic).endOffset();
  }

  /**
   * Returns the records from the given offset on, encoded in the store's binary format. The body is
   * empty if the record at that offset was deleted or if the topic ends before it.
   */
  synchronized Page read(String topic, long fromOffset) {
    Topic source = topic(topic);
    if (fromOffset < source.firstOffset || fromOffset > source.endOffset()) {
      return new Page(era, Optional.empty());
    }
    List<byte[]> selected =
        source.records.subList((int) (fromOffset - source.firstOffset), source.records.size());
    int size = selected.stream().mapToInt(record -> Integer.BYTES + record.length).sum();
    ByteBuffer buffer = ByteBuffer.allocate(2 * Long.BYTES + size);
    buffer.putLong(source.endOffset()).putLong(source.firstOffset);
    selected.forEach(record -> buffer.putInt(record.length).put(record));
    return new Page(era, Optional.of(buffer.array()));
  }

  /**
   * Returns the newest record of each key that sorts after the given key; an empty key selects all.
   */
  synchronized NewestRecords newestRecords(String topic, String afterKey) {
    List<NewestRecord> records = new ArrayList<>();
    Topic source = topic(topic);
    source
        .newestByKey
        .tailMap(afterKey, afterKey.isEmpty())
        .forEach(
            (key, record) -> records.add(new NewestRecord(key, record.value(), record.offset())));
    return new NewestRecords(era, source.endOffset(), records);
  }

  /** Returns the number of the current era, which rises by one with each restored backup. */
  synchronized long era() {
    return era;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  /** The contents of a store at a moment; immutable. */
  public static final class Backup {
    private final Map<String, Topic> topics;

    private Backup(Map<String, Topic> topics) {
      this.topics = topics;
    }
  }

  /**
   * The response to a read.
   *
   * @param era the era of the store
   * @param body the records; empty if the offset is not available
   */
  record Page(long era, Optional<byte[]> body) {}

  /**
   * The newest records of a topic.
   *
   * @param era the era of the store
   * @param endOffset the offset of the next record
   * @param records the newest record of each selected key
   */
  record NewestRecords(long era, long endOffset, List<NewestRecord> records) {}

  /**
   * The newest record of a key.
   *
   * @param key the key of the record
   * @param value the value of the key
   * @param offset the offset of the record in its topic
   */
  record NewestRecord(String key, byte[] value, long offset) {}

  private record StoredValue(byte[] value, long offset) {}

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, StoredValue> newestByKey = new TreeMap<>();
    private long firstOffset;

    private Topic copy() {
      Topic copy = new Topic();
      copy.records.addAll(records);
      copy.newestByKey.putAll(newestByKey);
      copy.firstOffset = firstOffset;
      return copy;
    }

    private long endOffset() {
      return firstOffset + records.size();
    }

    private void append(String key, Optional<byte[]> value) {
      byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
      byte[] valueBytes = value.orElse(new byte[0]);
      ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
      record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
      if (value.isPresent()) {
        newestByKey.put(key, new StoredValue(valueBytes, endOffset()));
      } else {
        newestByKey.remove(key);
      }
      records.add(record.array());
    }
  }
}
