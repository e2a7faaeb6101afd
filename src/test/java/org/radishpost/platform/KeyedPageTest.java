package org.radishpost.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.radishpost.errors.StoreException;
import org.testng.annotations.Test;

/** The binary form of records in the store. */
public class KeyedPageTest {
  private static byte[] page(long end, long first, byte[]... records) {
    ByteBuffer buffer = ByteBuffer.allocate(4_096).putLong(end).putLong(first);
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
  public void readsKeysAndValues() throws Exception {
    KeyedPage page = KeyedPage.decode(page(9, 0, record("a", "1"), record("b", "")), 7);
    assertEquals(page.next(), 9);
    assertEquals(page.records().get(0).key(), "a");
    assertEquals(new String(page.records().get(0).value().get(), StandardCharsets.UTF_8), "1");
    assertFalse(page.records().get(1).value().isPresent());
    assertEquals(page.records().get(1).offset(), 8);
  }

  @Test
  public void emptyPageKeepsTheOffset() throws Exception {
    assertEquals(KeyedPage.decode(page(7, 0), 7).next(), 7);
  }

  @Test
  public void recordWithoutWholeKeyIsCountedAndLeftOut() throws Exception {
    KeyedPage page = KeyedPage.decode(page(9, 0, new byte[] {9, 'x'}, record("b", "2")), 7);
    assertEquals(page.records().size(), 1);
    assertEquals(page.next(), 9);
  }

  @Test
  public void cutRecordIsRefused() {
    byte[] whole = page(8, 0, record("a", "1"));
    byte[] cut = java.util.Arrays.copyOf(whole, whole.length - 1);
    expectThrows(StoreException.class, () -> KeyedPage.decode(cut, 7));
    expectThrows(StoreException.class, () -> KeyedPage.decode(new byte[3], 7));
  }
}
