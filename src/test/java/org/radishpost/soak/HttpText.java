package org.radishpost.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** One HTTP/1.1 message as it stands on a socket, read and written byte by byte. */
final class HttpText {
  private static final String LENGTH = "content-length";
  private static final String CODING = "transfer-encoding";
  private static final int HEX = 16;
  private static final int MAX_LINE = 16_384;

  private HttpText() {}

  /**
   * A whole message.
   *
   * @param first the request line or the status line
   * @param headers the headers, by names in lower case
   * @param body the body
   */
  record Message(String first, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String word(int index) {
      String[] words = first.split(" ");
      return words.length > index ? words[index] : "";
    }

    int status() {
      return Integer.parseInt(word(1));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a message; returns nothing if the stream ends before its first byte. */
  static Optional<Message> read(InputStream in) throws IOException {
    Optional<String> first = line(in, true);
    if (first.isEmpty()) {
      return Optional.empty();
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = rest(in); !line.isEmpty(); line = rest(in)) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("No header: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return Optional.of(new Message(first.get(), headers, body(in, headers)));
  }

  private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.containsKey(CODING)) {
      return chunks(in);
    }
    return exactly(in, Integer.parseInt(headers.getOrDefault(LENGTH, "0")));
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int size = Integer.parseInt(rest(in), HEX); size > 0; ) {
      body.write(exactly(in, size));
      rest(in);
      size = Integer.parseInt(rest(in), HEX);
    }
    rest(in);
    return body.toByteArray();
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("The body ends after " + bytes.length + " of " + size + " bytes.");
    }
    return bytes;
  }

  private static String rest(InputStream in) throws IOException {
    return line(in, false).orElseThrow();
  }

  private static Optional<String> line(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0 && mayEnd && line.size() == 0) {
        return Optional.empty();
      }
      if (next < 0 || line.size() > MAX_LINE) {
        throw new EOFException("The message ends within its head.");
      }
      line.write(next);
    }
    return Optional.of(line.toString(StandardCharsets.UTF_8).stripTrailing());
  }

  /** Returns the bytes of a message whose body has a length. */
  static byte[] bytes(String first, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(first).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
    whole.writeBytes(body);
    return whole.toByteArray();
  }
}
