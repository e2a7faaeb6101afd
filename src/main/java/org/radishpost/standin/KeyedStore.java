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
 * The keyed topics of a stand-in of the platform's store, in memory; thread-safe.
 *
 * <p>Records are numbered from 0 in each topic. The newest record of each key is kept for ever, the
 * others until {@link #forget} is called.
 */
public final class KeyedStore {
  private final Map<String, Topic> topics = new HashMap<>();

  /** Creates an empty store. */
  public KeyedStore() {}

  /** Sets the value of a key. */
  public synchronized void put(String topic, String key, String value) {
    topic(topic).append(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Drops a key. */
  public synchronized void drop(String topic, String key) {
    topic(topic).append(key, Optional.empty());
  }

  /** Deletes all records of a topic but the newest of each key. */
  public synchronized void forget(String topic) {
    Topic kept = topic(topic);
    kept.first += kept.records.size();
    kept.records.clear();
  }

  /** Returns the offset that the next record of the topic gets. */
  public synchronized long end(String topic) {
    return topic(topic).end();
  }

  /** Returns the records from an offset on in the store's binary form, or nothing if deleted. */
  synchronized Optional<byte[]> read(String topic, long from) {
    Topic read = topic(topic);
    if (from < read.first) {
      return Optional.empty();
    }
    List<byte[]> wanted =
        read.records.subList(
            (int) Math.min(from - read.first, read.records.size()), read.records.size());
    int size = wanted.stream().mapToInt(record -> Integer.BYTES + record.length).sum();
    ByteBuffer buffer = ByteBuffer.allocate(2 * Long.BYTES + size);
    buffer.putLong(read.end()).putLong(read.first);
    wanted.forEach(record -> buffer.putInt(record.length).put(record));
    return Optional.of(buffer.array());
  }

  /** Returns the newest record of each key after the given one. */
  synchronized List<Newest> newest(String topic, String after) {
    List<Newest> found = new ArrayList<>();
    topic(topic)
        .newest
        .tailMap(after, after.isEmpty())
        .forEach((key, record) -> found.add(new Newest(key, record.value(), record.offset())));
    return found;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  /**
   * The newest record of a key.
   *
   * @param key the key
   * @param value its value
   * @param offset where it stands
   */
  record Newest(String key, byte[] value, long offset) {}

  private record Kept(byte[] value, long offset) {}

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Kept> newest = new TreeMap<>();
    private long first;

    private long end() {
      return first + records.size();
    }

    private void append(String key, Optional<byte[]> value) {
      byte[] name = key.getBytes(StandardCharsets.UTF_8);
      byte[] bytes = value.orElse(new byte[0]);
      ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
      record.put((byte) name.length).put(name).put(bytes);
      if (value.isPresent()) {
        newest.put(key, new Kept(bytes, end()));
      } else {
        newest.remove(key);
      }
      records.add(record.array());
    }
  }
}
