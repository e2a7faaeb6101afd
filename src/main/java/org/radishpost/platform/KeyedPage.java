package org.radishpost.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.errors.StoreException;
import org.radishpost.feed.KeyedRecord;

/**
 * A run of records of a keyed topic.
 *
 * @param records the records in their order
 * @param nextOffset the offset of the record that follows them
 */
record KeyedPage(List<KeyedRecord> records, long nextOffset) {
  private static final int BYTE_MASK = 0xff;

  KeyedPage {
    records = List.copyOf(records);
  }

  /**
   * Decodes an answer of {@code log-read}: the end of the topic and the first retained offset, 8
   * bytes each, then records, each with its length in 4 bytes, the length of its key in 1, the key
   * and the value.
   *
   * @param from the offset that was asked for
   * @throws StoreException if the bytes are of another form
   */
  static KeyedPage decode(byte[] bytes, long from) throws StoreException {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (buffer.remaining() < 2 * Long.BYTES) {
      throw new StoreException("The store's answer is too short: look at the store.");
    }
    buffer.getLong();
    long firstRetained = buffer.getLong();
    long offset = Math.max(from, firstRetained);
    List<KeyedRecord> records = new ArrayList<>();
    while (buffer.remaining() >= Integer.BYTES) {
      int length = buffer.getInt();
      if (length < 0 || length > buffer.remaining()) {
        throw new StoreException("A record of the store is cut short: look at the store.");
      }
      byte[] record = new byte[length];
      buffer.get(record);
      decodeRecord(offset, record).ifPresent(records::add);
      offset++;
    }
    return new KeyedPage(records, offset);
  }

  /** Records without a whole key name nothing. */
  private static Optional<KeyedRecord> decodeRecord(long offset, byte[] record) {
    if (record.length == 0 || record.length < 1 + (record[0] & BYTE_MASK)) {
      return Optional.empty();
    }
    int keyLength = record[0] & BYTE_MASK;
    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
    int valueLength = record.length - 1 - keyLength;
    if (valueLength == 0) {
      return Optional.of(new KeyedRecord(offset, key, Optional.empty()));
    }
    byte[] value = new byte[valueLength];
    System.arraycopy(record, 1 + keyLength, value, 0, valueLength);
    return Optional.of(new KeyedRecord(offset, key, Optional.of(value)));
  }
}
