package org.radishpost.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reads and writes HTTP/1.1 messages. Independent of any HTTP library, so that tests control every
 * byte.
 */
final class HttpCodec {
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final int HEX_RADIX = 16;
  private static final int MAX_LINE_BYTES = 16_384;

  private HttpCodec() {}

  /**
   * A complete message.
   *
   * @param startLine the request line or status line
   * @param headers the headers, by lower-case name
   * @param body the body
   */
  record Message(String startLine, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String startLineWord(int index) {
      String[] words = startLine.split(" ");
      return words.length > index ? words[index] : "";
    }

    int status() {
      return Integer.parseInt(startLineWord(1));
    }

    String bodyText() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /**
   * Reads a message. Returns an empty {@code Optional} if the stream ends before the first byte.
   */
  static Optional<Message> read(InputStream in) throws IOException {
    Optional<Message> head = readHead(in);
    return head.isPresent() ? Optional.of(readBody(in, head.get())) : head;
  }

  /** Reads a message up to its body, as {@link #read} does; the body is left in the stream. */
  static Optional<Message> readHead(InputStream in) throws IOException {
    Optional<String> startLine = readLine(in, true);
    if (startLine.isEmpty()) {
      return Optional.empty();
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readRequiredLine(in); !line.isEmpty(); line = readRequiredLine(in)) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("Header line without a colon: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return Optional.of(new Message(startLine.get(), headers, new byte[0]));
  }

  /** Returns the message with its body. A response without a length ends with its stream. */
  static Message readBody(InputStream in, Message head) throws IOException {
    byte[] body;
    if (head.headers().containsKey(TRANSFER_ENCODING)) {
      body = readChunked(in);
    } else if (head.startLine().startsWith("HTTP/") && head.header(CONTENT_LENGTH).isEmpty()) {
      body = in.readAllBytes();
    } else {
      body = readExactly(in, Integer.parseInt(head.headers().getOrDefault(CONTENT_LENGTH, "0")));
    }
    return new Message(head.startLine(), head.headers(), body);
  }

  private static byte[] readChunked(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int size = Integer.parseInt(readRequiredLine(in), HEX_RADIX); size > 0; ) {
      body.write(readExactly(in, size));
      readRequiredLine(in);
      size = Integer.parseInt(readRequiredLine(in), HEX_RADIX);
    }
    readRequiredLine(in);
    return body.toByteArray();
  }

  private static byte[] readExactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException(
          "The stream ended after " + bytes.length + " of " + size + " body bytes.");
    }
    return bytes;
  }

  private static String readRequiredLine(InputStream in) throws IOException {
    return readLine(in, false).orElseThrow();
  }

  private static Optional<String> readLine(InputStream in, boolean allowEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0 && allowEnd && line.size() == 0) {
        return Optional.empty();
      }
      if (next < 0 || line.size() > MAX_LINE_BYTES) {
        throw new EOFException("The stream ended within a line, or the line is too long.");
      }
      line.write(next);
    }
    return Optional.of(line.toString(StandardCharsets.UTF_8).stripTrailing());
  }

  /** Encodes a message with a {@code Content-Length} header. */
  static byte[] encode(String startLine, Map<String, String> headers, byte[] body) {
    Map<String, String> allHeaders = new LinkedHashMap<>(headers);
    allHeaders.put("Content-Length", String.valueOf(body.length));
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(encodeHead(startLine, allHeaders));
    message.writeBytes(body);
    return message.toByteArray();
  }

  /** Encodes the start line and exactly the given headers. */
  static byte[] encodeHead(String startLine, Map<String, String> headers) {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
  }
}
