package org.radishpost.standin;

import io.netty.buffer.ByteBuf;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the length and the SHA-256 digest of a streamed body. Not thread-safe. */
final class BodyDigest {
  private final MessageDigest digest = newSha256();
  private long byteCount;

  void add(ByteBuf chunk) {
    byteCount += chunk.readableBytes();
    digest.update(chunk.nioBuffer());
  }

  long byteCount() {
    return byteCount;
  }

  String sha256Hex() {
    return HexFormat.of().formatHex(digest.digest());
  }

  private static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must provide it", e);
    }
  }
}
