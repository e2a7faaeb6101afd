package org.radishpost.lib;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A SHA-256 digest, keyed or not, as 64 hexadecimal digits.
 *
 * @param hex the digits, lower case
 */
public record Digest(String hex) implements Comparable<Digest> {
  private static final int HEX_CHARS = 64;
  private static final String HMAC = "HmacSHA256";

  /** Checks the length. */
  public Digest {
    if (hex.length() != HEX_CHARS) {
      throw new IllegalArgumentException("a digest has " + HEX_CHARS + " hexadecimal digits");
    }
  }

  /** Returns the plain digest of the text's UTF-8 bytes. */
  public static Digest of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the plain digest of the bytes. */
  public static Digest of(byte[] bytes) {
    try {
      return fromBytes(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns the keyed digest (HMAC) of the text's UTF-8 bytes. */
  public static Digest hmac(byte[] key, String text) {
    return hmac(key, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the keyed digest (HMAC) of the bytes. */
  public static Digest hmac(byte[] key, byte[] bytes) {
    try {
      Mac mac = Mac.getInstance(HMAC);
      mac.init(new SecretKeySpec(key, HMAC));
      return fromBytes(mac.doFinal(bytes));
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException("every Java platform has " + HMAC, e);
    }
  }

  /** Compares in a time that does not depend on where the digests differ. */
  public boolean matches(Digest other) {
    return MessageDigest.isEqual(
        hex.getBytes(StandardCharsets.US_ASCII), other.hex.getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the first 64 bits, for choosing shards and ranks. */
  public long prefixAsLong() {
    return Long.parseUnsignedLong(hex, 0, 16, 16);
  }

  @Override
  public int compareTo(Digest other) {
    return hex.compareTo(other.hex);
  }

  private static Digest fromBytes(byte[] bytes) {
    return new Digest(HexFormat.of().formatHex(bytes));
  }
}
