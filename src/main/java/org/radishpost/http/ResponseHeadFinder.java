package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Finds the head of an HTTP/1.x response among other bytes, also where it begins within a line or
 * is spread over several parts. Confined to one thread.
 */
final class ResponseHeadFinder {
  private static final String START = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] +[1-9]\\d\\d( .*)?");
  private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
  private static final int MAX_STATUS_LINE_BYTES = 256;
  private static final int MAX_HEAD_BYTES = 8_192;

  private final Predicate<HttpHeaders> isWanted;

  /** What may become a head, from its first byte on. */
  private final StringBuilder candidate = new StringBuilder();

  private int lineStart;
  private HttpHeaders fields = EmptyHttpHeaders.INSTANCE;
  private boolean found;

  /**
   * Creates a finder that has read no bytes.
   *
   * @param isWanted decides by the fields of a head that have been read so far whether it is one to
   *     be found; called after each of them and at the end of the head
   */
  ResponseHeadFinder(Predicate<HttpHeaders> isWanted) {
    this.isWanted = isWanted;
  }

  /** Reads further bytes, without changing the buffer; returns whether a head has been found. */
  boolean read(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (index < bytes.writerIndex() && !found) {
      if (candidate.isEmpty()) {
        index = bytes.indexOf(index, bytes.writerIndex(), (byte) START.charAt(0));
        if (index < 0) {
          return false;
        }
      }
      accept((char) bytes.getUnsignedByte(index));
      index++;
    }
    return found;
  }

  /** Returns whether the bytes end amid a head, of which they have the whole status line. */
  boolean endsWithinHead() {
    return lineStart > 0;
  }

  /** Returns how many bytes at the end may be the beginning of a head. */
  int headBytesAtEnd() {
    return candidate.length();
  }

  private void accept(char next) {
    candidate.append(next);
    int length = candidate.length();
    if (length <= START.length()) {
      if (next != START.charAt(length - 1)) {
        readAgain(candidate.substring(1));
      }
    } else if (next == '\n') {
      readLine();
    } else if (lineStart == 0 && length > MAX_STATUS_LINE_BYTES) {
      readAgain(candidate.substring(1));
    } else if (length > MAX_HEAD_BYTES) {
      found = isWanted.test(fields);
      clear();
    }
  }

  private void readLine() {
    String line = candidate.substring(lineStart).stripTrailing();
    if (lineStart == 0 && STATUS_LINE.matcher(line).matches()) {
      lineStart = candidate.length();
      fields = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    } else if (lineStart == 0) {
      readAgain(candidate.substring(1));
    } else if (line.isEmpty()) {
      found = isWanted.test(fields);
      clear();
    } else if (readField(line)) {
      lineStart = candidate.length();
      found = isWanted.test(fields);
      if (found) {
        clear();
      }
    } else {
      readAgain(candidate.substring(lineStart));
    }
  }

  /** Adds a field, unless the line continues the one before; returns whether it is one of both. */
  private boolean readField(String line) {
    if (Character.isWhitespace(line.charAt(0))) {
      return true;
    }
    int colon = Math.max(0, line.indexOf(':'));
    String name = line.substring(0, colon).stripTrailing();
    if (!FIELD_NAME.matcher(name).matches()) {
      return false;
    }
    fields.add(name, line.substring(colon + 1).strip());
    return true;
  }

  /** Reads text again that is not the beginning of a head, but may have one in it. */
  private void readAgain(String text) {
    clear();
    for (int i = 0; i < text.length() && !found; i++) {
      if (!candidate.isEmpty() || text.charAt(i) == START.charAt(0)) {
        accept(text.charAt(i));
      }
    }
  }

  private void clear() {
    candidate.setLength(0);
    lineStart = 0;
    fields = EmptyHttpHeaders.INSTANCE;
  }
}
