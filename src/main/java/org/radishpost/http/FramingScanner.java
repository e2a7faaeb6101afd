package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds the boundaries of messages in a byte stream, which are heads, bodies with a content length,
 * chunked bodies and those that end with the connection, and validates the lines between them.
 *
 * <p>There is one instance per connection, used by the event loop thread of the connection.
 */
final class FramingScanner {
  private static final byte DEL = 0x7f;
  private static final int MAX_LINE_BYTES = 65_536;
  private static final int MAX_CHUNK_SIZE_LINE_BYTES = 256;

  /** The size of a body that ends with its connection. */
  private static final long ENDLESS = Long.MAX_VALUE;

  private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,15}");

  private final MessageKind kind;
  private final StringBuilder line = new StringBuilder();
  private State state = State.START_LINE;
  private int status;
  private BodyFraming framing;
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

  /** Creates a scanner of messages of the given kind, at the beginning of the first one. */
  FramingScanner(MessageKind kind) {
    this.kind = kind;
    this.framing = new BodyFraming(kind);
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
      Optional<MessageFault> fault = scanByte(bytes.getByte(index));
      if (fault.isPresent()) {
        return Optional.of(new Fault(index, inBody(), fault.get()));
      }
      index++;
    }
    return Optional.empty();
  }

  /** Returns whether a head has been received in part. */
  boolean inHead() {
    return state == State.HEADER_SECTION
        || state == State.START_LINE && (line.length() > 0 || afterCarriageReturn);
  }

  /** Returns whether a head is complete but its body is not. */
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

  private Optional<MessageFault> scanByte(byte value) {
    if (afterCarriageReturn) {
      afterCarriageReturn = false;
      return value == '\n' ? endOfLine() : Optional.of(MessageFault.BARE_CARRIAGE_RETURN);
    }
    if (value == '\n') {
      return Optional.of(MessageFault.BARE_LINE_FEED);
    }
    if (value == '\r') {
      afterCarriageReturn = true;
      return Optional.empty();
    }
    if (value >= 0 && value < ' ' && value != '\t' || value == DEL) {
      return Optional.of(MessageFault.CONTROL_CHARACTER);
    }
    if (state == State.CHUNK_END) {
      return Optional.of(MessageFault.CHUNK_END);
    }
    int limit = state == State.CHUNK_SIZE ? MAX_CHUNK_SIZE_LINE_BYTES : MAX_LINE_BYTES;
    if (line.length() >= limit) {
      return Optional.of(MessageFault.LONG_LINE);
    }
    line.append((char) (value & 0xff));
    return Optional.empty();
  }

  private Optional<MessageFault> endOfLine() {
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
      case TRAILER_SECTION -> trailer(text);
      case FIXED_BODY, CHUNK_DATA -> Optional.empty();
    };
  }

  private Optional<MessageFault> startLine(String text) {
    return switch (kind) {
      case MessageKind.Requests requests -> requestLine(text);
      case MessageKind.Responses responses -> statusLine(text);
    };
  }

  /** Empty lines before a request are ignored (RFC 9112, section 2.2). */
  private Optional<MessageFault> requestLine(String text) {
    if (!text.isEmpty()) {
      startHead();
    }
    return Optional.empty();
  }

  private Optional<MessageFault> statusLine(String text) {
    Optional<MessageFault> fault = StatusLine.fault(text);
    if (fault.isEmpty()) {
      status = StatusLine.code(text);
      startHead();
    }
    return fault;
  }

  private void startHead() {
    framing = new BodyFraming(kind);
    state = State.HEADER_SECTION;
  }

  private Optional<MessageFault> header(String text) {
    if (!text.isEmpty()) {
      return framing.addField(text);
    }
    Optional<MessageFault> fault = framing.fault();
    if (fault.isEmpty()) {
      startBody();
    }
    return fault;
  }

  private void startBody() {
    ResponseFraming bodyFraming = bodyFraming();
    if (bodyFraming == ResponseFraming.CHUNKED) {
      state = State.CHUNK_SIZE;
      return;
    }
    remainingBytes = bodyBytes(bodyFraming);
    state = remainingBytes == 0 ? State.START_LINE : State.FIXED_BODY;
  }

  private long bodyBytes(ResponseFraming bodyFraming) {
    return switch (bodyFraming) {
      case LENGTH -> framing.bodyBytes();
      case CLOSE -> ENDLESS;
      case NONE, BODILESS, CHUNKED -> 0;
    };
  }

  private ResponseFraming bodyFraming() {
    return switch (kind) {
      case MessageKind.Requests requests ->
          framing.chunked() ? ResponseFraming.CHUNKED : ResponseFraming.LENGTH;
      case MessageKind.Responses responses ->
          ResponseFraming.of(
              responses.requestMethod().get(), status, framing.chunked(), framing.hasLength());
    };
  }

  private Optional<MessageFault> chunkSize(String text) {
    int end = text.indexOf(';');
    String digits = end < 0 ? text : text.substring(0, end).stripTrailing();
    if (!CHUNK_SIZE.matcher(digits).matches()) {
      return Optional.of(MessageFault.CHUNK_SIZE);
    }
    remainingBytes = Long.parseLong(digits, 16);
    state = remainingBytes == 0 ? State.TRAILER_SECTION : State.CHUNK_DATA;
    return Optional.empty();
  }

  private Optional<MessageFault> trailer(String text) {
    if (!text.isEmpty()) {
      return FieldLine.fault(text);
    }
    state = State.START_LINE;
    return Optional.empty();
  }

  /**
   * A framing fault.
   *
   * @param offset the buffer index of the byte at which the fault was detected
   * @param inBody whether the head of the message was complete
   * @param reason what is wrong
   */
  record Fault(int offset, boolean inBody, MessageFault reason) {}
}
