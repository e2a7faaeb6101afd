package org.radishpost.claims;

import java.nio.ByteBuffer;
import org.radishpost.lib.Digest;

/**
 * The first 128 bits of a digest, as stored in the log and the index.
 *
 * <p>If the digests of two keys had the same first 128 bits, a claim of one key would block the
 * other. Neither call would be sent twice.
 */
record ShortDigest(long high, long low) {
  static final int BYTES = 16;
  private static final int HEX_CHARS_PER_HALF = 16;
  private static final int HEX_RADIX = 16;

  static ShortDigest of(Digest digest) {
    long low =
        Long.parseUnsignedLong(digest.hex(), HEX_CHARS_PER_HALF, 2 * HEX_CHARS_PER_HALF, HEX_RADIX);
    return new ShortDigest(digest.prefixAsLong(), low);
  }

  static ShortDigest fromBytes(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    return new ShortDigest(buffer.getLong(), buffer.getLong());
  }

  byte[] toBytes() {
    return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
  }
}
