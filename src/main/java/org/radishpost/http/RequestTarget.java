package org.radishpost.http;

import java.util.Optional;

/** Validates the path of a request and normalizes it for matching routes. */
final class RequestTarget {
  private static final int HEX_RADIX = 16;
  private static final String UNRESERVED_PUNCTUATION = "-._~";

  private RequestTarget() {}

  /**
   * Returns the path without the query, with escaped unreserved characters decoded.
   *
   * @return the normalized path; empty if a target could interpret the path differently, because it
   *     has dot segments, empty segments, escaped slashes, backslashes, invalid escapes or
   *     characters that are not allowed
   */
  static Optional<String> normalizedPath(String target) {
    StringBuilder path = new StringBuilder(target.length());
    int end = target.indexOf('?') < 0 ? target.length() : target.indexOf('?');
    if (!hasAllowedCharacters(target)) {
      return Optional.empty();
    }
    for (int i = 0; i < end; i++) {
      char c = target.charAt(i);
      if (c != '%') {
        path.append(c);
        continue;
      }
      int value = decodeEscape(target, i, end);
      if (value < 0 || value == '/' || value == '\\' || value == 0) {
        return Optional.empty();
      }
      if (isUnreserved((char) value)) {
        path.append((char) value);
      } else {
        path.append(target, i, i + 3);
      }
      i += 2;
    }
    return hasUnambiguousSegments(path.toString())
        ? Optional.of(path.toString())
        : Optional.empty();
  }

  private static boolean hasAllowedCharacters(String target) {
    return target.startsWith("/")
        && target.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '#' && c != '\\');
  }

  private static int decodeEscape(String target, int at, int end) {
    if (at + 2 >= end) {
      return -1;
    }
    int high = Character.digit(target.charAt(at + 1), HEX_RADIX);
    int low = Character.digit(target.charAt(at + 2), HEX_RADIX);
    return high < 0 || low < 0 ? -1 : high * HEX_RADIX + low;
  }

  private static boolean isUnreserved(char c) {
    boolean letterOrDigit = c >= '0' && c <= '9' || (c | 0x20) >= 'a' && (c | 0x20) <= 'z';
    return letterOrDigit || UNRESERVED_PUNCTUATION.indexOf(c) >= 0;
  }

  private static boolean hasUnambiguousSegments(String path) {
    return !path.contains("//")
        && !path.contains("/./")
        && !path.contains("/../")
        && !path.endsWith("/.")
        && !path.endsWith("/..");
  }
}
