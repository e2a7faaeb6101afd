package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Follows the limits of requests in a stream of bytes: heads, fixed bodies and chunks.
 *
 * <p>One for each connection, used by its thread.
 */
final class FramingScanner {
  private static final int MAX_LINE_BYTES = 65_536;
  private static final int MAX_CHUNK_LINE_BYTES = 256;

  private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,15}");

  private final StringBuilder line = new StringBuilder();
  private State state = State.START_LINE;
  private HeadFraming head = new HeadFraming();
  private long left;
  private boolean carriageReturn;

  private enum State {
    START_LINE,
    HEADER,
    FIXED,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER
  }

  /**
   * Follows the readable bytes without consuming them.
   *
   * @return the first fault, if there is one; the scanner is of no use after that
   */
  Optional<Fault> scan(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (index < bytes.writerIndex()) {
      if (state == State.FIXED || state == State.CHUNK_DATA) {
        index += skip(bytes.writerIndex() - index);
        continue;
      }
      Optional<String> fault = next(bytes.getByte(index));
      if (fault.isPresent()) {
        return Optional.of(new Fault(index, inBody(), fault.get()));
      }
      index++;
    }
    return Optional.empty();
  }

  /** Tells whether a head has begun and is not whole. */
  boolean inHead() {
    return state == State.HEADER
        || state == State.START_LINE && (line.length() > 0 || carriageReturn);
  }

  /** Tells whether a head is whole and its body is not. */
  boolean inBody() {
    return state != State.START_LINE && state != State.HEADER;
  }

  private int skip(int available) {
    int skipped = (int) Math.min(left, available);
    left -= skipped;
    if (left == 0) {
      state = state == State.FIXED ? State.START_LINE : State.CHUNK_END;
    }
    return skipped;
  }

  private Optional<String> next(byte value) {
    if (carriageReturn) {
      carriageReturn = false;
      return value == '\n' ? endOfLine() : Optional.of("A carriage return stands alone.");
    }
    if (value == '\n') {
      return Optional.of("A line feed stands alone.");
    }
    if (value == '\r') {
      carriageReturn = true;
      return Optional.empty();
    }
    if (value == 0) {
      return Optional.of("A zero byte stands in a line.");
    }
    int limit = state == State.CHUNK_SIZE ? MAX_CHUNK_LINE_BYTES : MAX_LINE_BYTES;
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
      case HEADER -> header(text);
      case CHUNK_SIZE -> chunkSize(text);
      case CHUNK_END -> {
        state = State.CHUNK_SIZE;
        yield Optional.empty();
      }
      case TRAILER -> {
        state = text.isEmpty() ? State.START_LINE : State.TRAILER;
        yield Optional.empty();
      }
      case FIXED, CHUNK_DATA -> Optional.empty();
    };
  }

  private Optional<String> startLine(String text) {
    if (!text.isEmpty()) {
      head = new HeadFraming();
      state = State.HEADER;
    }
    return Optional.empty();
  }

  private Optional<String> header(String text) {
    if (!text.isEmpty()) {
      return head.field(text);
    }
    Optional<String> fault = head.fault();
    if (fault.isPresent()) {
      return fault;
    }
    if (head.chunked()) {
      state = State.CHUNK_SIZE;
    } else {
      left = head.length();
      state = left == 0 ? State.START_LINE : State.FIXED;
    }
    return Optional.empty();
  }

  private Optional<String> chunkSize(String text) {
    int end = text.indexOf(';');
    String digits = end < 0 ? text : text.substring(0, end);
    if (!CHUNK_SIZE.matcher(digits).matches()) {
      return Optional.of("A chunk size is not a hexadecimal number.");
    }
    left = Long.parseLong(digits, 16);
    state = left == 0 ? State.TRAILER : State.CHUNK_DATA;
    return Optional.empty();
  }

  /**
   * What is wrong, and where.
   *
   * @param offset the index of the byte that shows it
   * @param inBody whether the head of the request was already whole
   * @param detail what is wrong
   */
  record Fault(int offset, boolean inBody, String detail) {}
}
