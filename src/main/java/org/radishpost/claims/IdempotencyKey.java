package org.radishpost.claims;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An idempotency key, which is the same each time a caller sends the same call.
 *
 * @param text the key in normalized form
 * @param timeMillis the time of creation contained in the key, in milliseconds since 1970
 */
public record IdempotencyKey(String text, long timeMillis) {
  /** The maximum length of a key. */
  public static final int MAX_CHARS = 128;

  private static final Pattern UUID_V7 =
      Pattern.compile("([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
  private static final Pattern MILLIS_AND_RANDOM =
      Pattern.compile("([1-9]\\d{12})-[0-9A-Za-z_-]{16,114}");
  private static final int HEX_RADIX = 16;

  /** The result of {@link #parse}. */
  public sealed interface Parsed {}

  /**
   * The text is a valid key.
   *
   * @param key the key
   */
  public record Valid(IdempotencyKey key) implements Parsed {}

  /**
   * The text is not a valid key.
   *
   * @param remedy the instructions for the caller
   */
  public record Invalid(String remedy) implements Parsed {}

  /**
   * Parses a key in one of two formats: a UUID of version 7 (RFC 9562), or milliseconds since 1970
   * followed by a hyphen and at least 16 random letters, digits, underscores or hyphens.
   */
  public static Parsed parse(String text) {
    if (text.length() > MAX_CHARS) {
      return invalid();
    }
    String lower = text.toLowerCase(Locale.ROOT);
    Matcher uuid = UUID_V7.matcher(lower);
    if (uuid.matches()) {
      long millis = Long.parseLong(uuid.group(1) + uuid.group(2), HEX_RADIX);
      return new Valid(new IdempotencyKey(lower, millis));
    }
    Matcher millisAndRandom = MILLIS_AND_RANDOM.matcher(text);
    if (millisAndRandom.matches()) {
      return new Valid(new IdempotencyKey(text, Long.parseLong(millisAndRandom.group(1))));
    }
    return invalid();
  }

  private static Invalid invalid() {
    return new Invalid(
        "Send a UUID of version 7, or <milliseconds since 1970>-<16 or more random letters or"
            + " digits>, and the same key each time the call is sent again.");
  }
}
