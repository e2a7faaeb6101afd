package org.radishpost.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.errors.StoreException;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.TopicOffset;

/**
 * A page of a keyed topic; records without a valid key are omitted.
 *
 * @param records the records in ascending order of offset
 * @param nextOffset the offset from which to read the next page
 * @param endsWithTopic whether the topic had no more records when the page was created
 */
record KeyedPage(List<KeyedRecord> records, TopicOffset nextOffset, boolean endsWithTopic) {
  private static final int BYTE_MASK = 0xff;

  KeyedPage {
    records = List.copyOf(records);
  }

  /**
   * Decodes a response to {@code log-read}. The response holds the end offset of the topic and the
   * first retained offset, 8 bytes each, and then the records. Each record consists of its length
   * in 4 bytes, the length of the key in 1 byte, the key and the value. An empty value deletes the
   * key.
   *
   * @param bytes the body of the response
   * @param from the requested offset, with the era of the store in which the response was created
   * @throws StoreException if the response is truncated, or holds records that would lie after the
   *     end of the topic, as a late response to an earlier request does
   */
  static KeyedPage decode(byte[] bytes, TopicOffset from) throws StoreException {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (buffer.remaining() < 2 * Long.BYTES) {
      throw new StoreException("The store's response is too short: check the store.");
    }
    long endOffset = buffer.getLong();
    long firstRetained = buffer.getLong();
    TopicOffset offset = new TopicOffset(from.era(), Math.max(from.offset(), firstRetained));
    List<KeyedRecord> records = new ArrayList<>();
    while (buffer.remaining() >= Integer.BYTES) {
      int length = buffer.getInt();
      if (length < 0 || length > buffer.remaining()) {
        throw new StoreException("A record in the store's response is truncated: check the store.");
      }
      byte[] record = new byte[length];
      buffer.get(record);
      decodeRecord(offset, record).ifPresent(records::add);
      offset = offset.next();
      if (offset.offset() > endOffset) {
        throw new StoreException(
            "A record in the store's response lies after the end of its topic: check the store.");
      }
    }
    return new KeyedPage(records, offset, offset.offset() >= endOffset);
  }

  /** Returns the decoded record; empty if its key is missing or truncated. */
  private static Optional<KeyedRecord> decodeRecord(TopicOffset offset, byte[] record) {
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
