package org.radishpost.http;

import java.util.Optional;

/** Parses the first line of a response by the grammar of RFC 9112, section 4. */
final class StatusLine {
  private static final String VERSION = "HTTP/1.";
  private static final int VERSION_END = VERSION.length() + 1;
  private static final int CODE_START = VERSION_END + 1;
  private static final int CODE_END = CODE_START + 3;
  private static final int MIN_CODE = 100;
  private static final int MAX_CODE = 599;

  private StatusLine() {}

  /** Returns what is wrong with a line, if anything. */
  static Optional<MessageFault> fault(String line) {
    if (!hasForm(line)) {
      return Optional.of(MessageFault.STATUS_LINE);
    }
    int code = code(line);
    return code < MIN_CODE || code > MAX_CODE
        ? Optional.of(MessageFault.STATUS_CODE)
        : Optional.empty();
  }

  /** Returns the status code of a line that has no fault. */
  static int code(String line) {
    return Integer.parseInt(line, CODE_START, CODE_END, 10);
  }

  /** The space behind the status code is required, also if there is no reason phrase. */
  private static boolean hasForm(String line) {
    return line.length() > CODE_END
        && line.startsWith(VERSION)
        && areDigits(line, VERSION_END - 1, VERSION_END)
        && line.charAt(VERSION_END) == ' '
        && areDigits(line, CODE_START, CODE_END)
        && line.charAt(CODE_END) == ' ';
  }

  private static boolean areDigits(String line, int start, int end) {
    for (int i = start; i < end; i++) {
      if (line.charAt(i) < '0' || line.charAt(i) > '9') {
        return false;
      }
    }
    return true;
  }
}
