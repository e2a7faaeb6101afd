package org.radishpost.claims;

import java.nio.ByteBuffer;
import org.radishpost.lib.Digest;

/**
 * The first 128 bits of a digest, as the log and the index keep them.
 *
 * <p>Two keys with the same bits would block each other; neither would run twice.
 */
record ShortDigest(long high, long low) {
  static final int BYTES = 16;
  private static final int HEX_CHARS_PER_HALF = 16;
  private static final int HEX_RADIX = 16;

  static ShortDigest of(Digest digest) {
    long low =
        Long.parseUnsignedLong(digest.hex(), HEX_CHARS_PER_HALF, 2 * HEX_CHARS_PER_HALF, HEX_RADIX);
    return new ShortDigest(digest.prefix(), low);
  }

  static ShortDigest fromBytes(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    return new ShortDigest(buffer.getLong(), buffer.getLong());
  }

  byte[] toBytes() {
    return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
  }
}
