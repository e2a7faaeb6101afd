package org.radishpost.http;

import java.util.Optional;
import java.util.regex.Pattern;

/** The body framing that the header fields of a message define. */
final class BodyFraming {
  private static final int ABSENT = -1;
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final String CHUNKED = "chunked";
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  private final MessageKind kind;
  private long contentLength = ABSENT;
  private boolean chunked;
  private boolean hasTransferEncoding;

  /** Creates the framing of a message of the given kind without fields. */
  BodyFraming(MessageKind kind) {
    this.kind = kind;
  }

  /** Processes one header field line. Returns what is wrong with it, if anything. */
  Optional<MessageFault> addField(String line) {
    Optional<MessageFault> fault = FieldLine.fault(line);
    if (fault.isPresent()) {
      return fault;
    }
    int colon = line.indexOf(':');
    if (isNamed(line, colon, CONTENT_LENGTH)) {
      return addContentLength(line.substring(colon + 1).strip());
    }
    return isNamed(line, colon, TRANSFER_ENCODING)
        ? addTransferEncoding(line.substring(colon + 1).strip())
        : Optional.empty();
  }

  private static boolean isNamed(String line, int colon, String name) {
    return colon == name.length() && line.regionMatches(true, 0, name, 0, colon);
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

  private Optional<MessageFault> addContentLength(String value) {
    if (contentLength != ABSENT || !LENGTH.matcher(value).matches()) {
      return Optional.of(MessageFault.CONTENT_LENGTH);
    }
    contentLength = Long.parseLong(value);
    return Optional.empty();
  }

  private Optional<MessageFault> addTransferEncoding(String value) {
    return switch (kind) {
      case MessageKind.Requests requests -> addOnlyCoding(value);
      case MessageKind.Responses responses -> addCodings(value);
    };
  }

  private Optional<MessageFault> addOnlyCoding(String coding) {
    if (hasTransferEncoding || !coding.equalsIgnoreCase(CHUNKED)) {
      return Optional.of(MessageFault.TRANSFER_ENCODING);
    }
    hasTransferEncoding = true;
    chunked = true;
    return Optional.empty();
  }

  /** Only the last coding tells where the body ends; without chunks, its connection does. */
  private Optional<MessageFault> addCodings(String list) {
    hasTransferEncoding = true;
    for (String coding : list.split(",")) {
      if (chunked) {
        return Optional.of(MessageFault.CHUNKED_NOT_LAST);
      }
      chunked = coding.strip().equalsIgnoreCase(CHUNKED);
    }
    return Optional.empty();
  }
}
