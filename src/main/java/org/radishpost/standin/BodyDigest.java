package org.radishpost.standin;

import io.netty.buffer.ByteBuf;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Counts and digests a body as it streams by; used by one subscriber. */
final class BodyDigest {
  private final MessageDigest digest = sha256();
  private long bytes;

  void add(ByteBuf part) {
    bytes += part.readableBytes();
    digest.update(part.nioBuffer());
  }

  long bytes() {
    return bytes;
  }

  String hex() {
    return HexFormat.of().formatHex(digest.digest());
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
