package org.radishpost.lib;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A SHA-256 or HMAC-SHA-256 digest in hexadecimal form.
 *
 * @param hex 64 hexadecimal digits in lower case
 */
public record Digest(String hex) implements Comparable<Digest> {
  private static final int HEX_CHARS = 64;
  private static final int SHORT_HEX_CHARS = 12;
  private static final String HMAC = "HmacSHA256";

  /** Checks the number of digits. */
  public Digest {
    if (hex.length() != HEX_CHARS) {
      throw new IllegalArgumentException("a digest must have " + HEX_CHARS + " hexadecimal digits");
    }
  }

  /** Returns the SHA-256 digest of the text in UTF-8. */
  public static Digest of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the SHA-256 digest of the bytes. */
  public static Digest of(byte[] bytes) {
    try {
      return fromBytes(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java platform does not support SHA-256", e);
    }
  }

  /** Returns the HMAC-SHA-256 of the text in UTF-8. */
  public static Digest hmac(byte[] key, String text) {
    return hmac(key, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the HMAC-SHA-256 of the bytes. */
  public static Digest hmac(byte[] key, byte[] bytes) {
    try {
      Mac mac = Mac.getInstance(HMAC);
      mac.init(new SecretKeySpec(key, HMAC));
      return fromBytes(mac.doFinal(bytes));
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException("the Java platform does not support " + HMAC, e);
    }
  }

  /**
   * Returns whether the digests are equal. The comparison takes constant time, which prevents
   * timing attacks.
   */
  public boolean matches(Digest other) {
    return MessageDigest.isEqual(
        hex.getBytes(StandardCharsets.US_ASCII), other.hex.getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the first 64 bits, for use in sharding and ranking. */
  public long prefixAsLong() {
    return Long.parseUnsignedLong(hex, 0, 16, 16);
  }

  @Override
  public int compareTo(Digest other) {
    return hex.compareTo(other.hex);
  }

  /** Returns the digest whose value is the given bytes; the inverse of {@link #toBytes()}. */
  public static Digest fromBytes(byte[] bytes) {
    return new Digest(HexFormat.of().formatHex(bytes));
  }

  /** Returns the value of the digest, which has 32 bytes. */
  public byte[] toBytes() {
    return HexFormat.of().parseHex(hex);
  }

  /** Returns the first digits, by which operators find the digest in logs. */
  public String shortHex() {
    return hex.substring(0, SHORT_HEX_CHARS);
  }
}
