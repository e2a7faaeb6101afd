package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.radishpost.errors.StoreException;
import org.radishpost.feed.KeyedRecord;
import org.testng.annotations.Test;

/** Decoding of the store's binary record format. */
public class KeyedPageTest {
  private static byte[] page(long end, long firstRetained, byte[]... records) {
    ByteBuffer buffer = ByteBuffer.allocate(4_096).putLong(end).putLong(firstRetained);
    for (byte[] record : records) {
      buffer.putInt(record.length).put(record);
    }
    byte[] bytes = new byte[buffer.position()];
    buffer.flip().get(bytes);
    return bytes;
  }

  private static byte[] record(String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + bytes.length)
        .put((byte) name.length)
        .put(name)
        .put(bytes)
        .array();
  }

  @Test
  public void decodesKeysAndValues() throws Exception {
    KeyedPage page = KeyedPage.decode(page(9, 0, record("a", "1"), record("b", "")), at(7));
    assertEquals(page.nextOffset(), at(9));
    assertEquals(page.records().get(0).key(), "a");
    assertEquals(new String(page.records().get(0).value().get(), StandardCharsets.UTF_8), "1");
    assertFalse(page.records().get(1).value().isPresent());
    assertEquals(page.records().get(1).offset(), at(8));
  }

  @Test
  public void emptyPageKeepsTheOffset() throws Exception {
    assertEquals(KeyedPage.decode(page(7, 0), at(7)).nextOffset(), at(7));
  }

  @Test
  public void skipsRecordWithTruncatedKeyButCountsItsOffset() throws Exception {
    KeyedPage page = KeyedPage.decode(page(9, 0, new byte[] {9, 'x'}, record("b", "2")), at(7));
    assertEquals(page.records().size(), 1);
    assertEquals(page.nextOffset(), at(9));
  }

  @Test
  public void rejectsTruncatedRecord() {
    byte[] complete = page(8, 0, record("a", "1"));
    byte[] truncated = Arrays.copyOf(complete, complete.length - 1);
    expectThrows(StoreException.class, () -> KeyedPage.decode(truncated, at(7)));
    expectThrows(StoreException.class, () -> KeyedPage.decode(new byte[3], at(7)));
  }

  /** A page that was cut and looks complete lacks records, which the next read returns. */
  @Test
  public void cutPageHoldsTheFirstRecordsOrIsRejected() throws Exception {
    byte[] complete = page(10, 0, record("a", "1"), record("b", ""), record("c", "3"));
    List<KeyedRecord> records = KeyedPage.decode(complete, at(7)).records();
    int rejected = 0;
    for (int length = 0; length < complete.length; length++) {
      byte[] cut = Arrays.copyOf(complete, length);
      try {
        KeyedPage page = KeyedPage.decode(cut, at(7));
        int count = (int) page.nextOffset().offset() - 7;
        assertFalse(page.endsWithTopic(), "cut at " + length);
        assertEquals(page.records().size(), count, "cut at " + length);
        for (int i = 0; i < count; i++) {
          assertEquals(page.records().get(i).key(), records.get(i).key());
          assertEquals(page.records().get(i).offset(), records.get(i).offset());
        }
      } catch (StoreException e) {
        rejected++;
      }
    }
    assertTrue(rejected > 0);
  }

  @Test
  public void rejectsRecordsAfterTheEndOfTheTopic() {
    byte[] late = page(9, 0, record("a", "1"), record("b", "2"));
    expectThrows(StoreException.class, () -> KeyedPage.decode(late, at(8)));
  }
}
