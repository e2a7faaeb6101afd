package org.radishpost.http;

import java.util.Locale;
import java.util.Optional;

/** The body framing that the header fields of a message define. */
final class BodyFraming {
  private static final int ABSENT = -1;
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

  private long contentLength = ABSENT;
  private boolean chunked;
  private boolean hasTransferEncoding;

  /** Processes one header field line. Returns what is wrong with it, if anything. */
  Optional<MessageFault> addField(String line) {
    int colon = line.indexOf(':');
    if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
      return Optional.of(MessageFault.LINE_FOLDING);
    }
    if (colon < 1 || !isToken(line, colon)) {
      return Optional.of(MessageFault.FIELD_NAME);
    }
    String value = line.substring(colon + 1).strip();
    return switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "content-length" -> addContentLength(value);
      case "transfer-encoding" -> addTransferEncoding(value);
      default -> Optional.empty();
    };
  }

  /**
   * Returns a fault that involves several fields, if any. Call this at the end of the header
   * section.
   */
  Optional<MessageFault> fault() {
    return hasTransferEncoding && contentLength != ABSENT
        ? Optional.of(MessageFault.CONFLICTING_LENGTHS)
        : Optional.empty();
  }

  boolean chunked() {
    return chunked;
  }

  boolean hasLength() {
    return contentLength != ABSENT;
  }

  long bodyBytes() {
    return Math.max(0, contentLength);
  }

  private static boolean isToken(String line, int end) {
    for (int i = 0; i < end; i++) {
      char c = line.charAt(i);
      boolean letterOrDigit = c >= '0' && c <= '9' || (c | 0x20) >= 'a' && (c | 0x20) <= 'z';
      if (!letterOrDigit && TOKEN_PUNCTUATION.indexOf(c) < 0) {
        return false;
      }
    }
    return true;
  }

  private Optional<MessageFault> addContentLength(String value) {
    if (contentLength != ABSENT || !value.matches("[0-9]{1,18}")) {
      return Optional.of(MessageFault.CONTENT_LENGTH);
    }
    contentLength = Long.parseLong(value);
    return Optional.empty();
  }

  private Optional<MessageFault> addTransferEncoding(String value) {
    if (hasTransferEncoding || !value.equalsIgnoreCase("chunked")) {
      return Optional.of(MessageFault.TRANSFER_ENCODING);
    }
    hasTransferEncoding = true;
    chunked = true;
    return Optional.empty();
  }
}
