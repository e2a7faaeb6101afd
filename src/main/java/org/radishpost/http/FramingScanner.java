package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds the boundaries of requests in a byte stream: heads, bodies with a content length and
 * chunked bodies.
 *
 * <p>There is one instance per connection, used by the event loop thread of the connection.
 */
final class FramingScanner {
  private static final int MAX_LINE_BYTES = 65_536;
  private static final int MAX_CHUNK_SIZE_LINE_BYTES = 256;

  private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,15}");

  private final StringBuilder line = new StringBuilder();
  private State state = State.START_LINE;
  private BodyFraming framing = new BodyFraming();
  private long remainingBytes;
  private boolean afterCarriageReturn;

  private enum State {
    START_LINE,
    HEADER_SECTION,
    FIXED_BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER_SECTION
  }

  /**
   * Scans the readable bytes without consuming them.
   *
   * @return the first framing fault, if any; the scanner must not be used after a fault
   */
  Optional<Fault> scan(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (index < bytes.writerIndex()) {
      if (state == State.FIXED_BODY || state == State.CHUNK_DATA) {
        index += skipContent(bytes.writerIndex() - index);
        continue;
      }
      Optional<String> fault = scanByte(bytes.getByte(index));
      if (fault.isPresent()) {
        return Optional.of(new Fault(index, inBody(), fault.get()));
      }
      index++;
    }
    return Optional.empty();
  }

  /** Returns whether a request head has been received in part. */
  boolean inHead() {
    return state == State.HEADER_SECTION
        || state == State.START_LINE && (line.length() > 0 || afterCarriageReturn);
  }

  /** Returns whether a request head is complete but its body is not. */
  boolean inBody() {
    return state != State.START_LINE && state != State.HEADER_SECTION;
  }

  private int skipContent(int available) {
    int skipped = (int) Math.min(remainingBytes, available);
    remainingBytes -= skipped;
    if (remainingBytes == 0) {
      state = state == State.FIXED_BODY ? State.START_LINE : State.CHUNK_END;
    }
    return skipped;
  }

  private Optional<String> scanByte(byte value) {
    if (afterCarriageReturn) {
      afterCarriageReturn = false;
      return value == '\n'
          ? endOfLine()
          : Optional.of("A carriage return is not followed by a line feed.");
    }
    if (value == '\n') {
      return Optional.of("A line feed is not preceded by a carriage return.");
    }
    if (value == '\r') {
      afterCarriageReturn = true;
      return Optional.empty();
    }
    if (value == 0) {
      return Optional.of("A line contains a NUL byte.");
    }
    int limit = state == State.CHUNK_SIZE ? MAX_CHUNK_SIZE_LINE_BYTES : MAX_LINE_BYTES;
    if (state == State.CHUNK_END || line.length() >= limit) {
      return Optional.of("A line is too long.");
    }
    line.append((char) (value & 0xff));
    return Optional.empty();
  }

  private Optional<String> endOfLine() {
    String text = line.toString();
    line.setLength(0);
    return switch (state) {
      case START_LINE -> startLine(text);
      case HEADER_SECTION -> header(text);
      case CHUNK_SIZE -> chunkSize(text);
      case CHUNK_END -> {
        state = State.CHUNK_SIZE;
        yield Optional.empty();
      }
      case TRAILER_SECTION -> {
        state = text.isEmpty() ? State.START_LINE : State.TRAILER_SECTION;
        yield Optional.empty();
      }
      case FIXED_BODY, CHUNK_DATA -> Optional.empty();
    };
  }

  private Optional<String> startLine(String text) {
    if (!text.isEmpty()) {
      framing = new BodyFraming();
      state = State.HEADER_SECTION;
    }
    return Optional.empty();
  }

  private Optional<String> header(String text) {
    if (!text.isEmpty()) {
      return framing.addField(text);
    }
    Optional<String> fault = framing.fault();
    if (fault.isPresent()) {
      return fault;
    }
    if (framing.chunked()) {
      state = State.CHUNK_SIZE;
    } else {
      remainingBytes = framing.bodyBytes();
      state = remainingBytes == 0 ? State.START_LINE : State.FIXED_BODY;
    }
    return Optional.empty();
  }

  private Optional<String> chunkSize(String text) {
    int end = text.indexOf(';');
    String digits = end < 0 ? text : text.substring(0, end);
    if (!CHUNK_SIZE.matcher(digits).matches()) {
      return Optional.of("A chunk size is not a hexadecimal number.");
    }
    remainingBytes = Long.parseLong(digits, 16);
    state = remainingBytes == 0 ? State.TRAILER_SECTION : State.CHUNK_DATA;
    return Optional.empty();
  }

  /**
   * A framing fault.
   *
   * @param offset the buffer index of the byte at which the fault was detected
   * @param inBody whether the head of the request was complete
   * @param detail the description of the fault
   */
  record Fault(int offset, boolean inBody, String detail) {}
}
