package org.radishpost.http;

import java.util.Optional;

/** Checks a header or trailer field line against the grammar of RFC 9112, section 5. */
final class FieldLine {
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

  private FieldLine() {}

  /**
   * Returns what is wrong with a line, if anything.
   *
   * @param line a line that is not empty and has no control characters but tabs in it
   */
  static Optional<MessageFault> fault(String line) {
    if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
      return Optional.of(MessageFault.LINE_FOLDING);
    }
    return isToken(line, line.indexOf(':'))
        ? Optional.empty()
        : Optional.of(MessageFault.FIELD_NAME);
  }

  private static boolean isToken(String line, int end) {
    for (int i = 0; i < end; i++) {
      char c = line.charAt(i);
      boolean letterOrDigit = c >= '0' && c <= '9' || (c | 0x20) >= 'a' && (c | 0x20) <= 'z';
      if (!letterOrDigit && TOKEN_PUNCTUATION.indexOf(c) < 0) {
        return false;
      }
    }
    return end > 0;
  }
}
