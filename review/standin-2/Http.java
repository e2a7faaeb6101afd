package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages whose bodies have a length or are chunked. */
final class Http {
  private Http() {}

  /**
   * A message.
   *
   * @param startLine the request line or status line
   * @param fields the header fields, by lower-case name
   * @param body the body
   */
  record Message(String startLine, Map<String, String> fields, byte[] body) {
    String word(int index) {
      return startLine.split(" ")[index];
    }

    int status() {
      return Integer.parseInt(word(1));
    }

    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** Reads a message; returns null if the connection ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> fields = new TreeMap<>();
    for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
      if (line == null) {
        throw new EOFException("the connection ended within a head");
      }
      int colon = line.indexOf(':');
      fields.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Message(startLine, fields, readBody(in, fields));
  }

  private static byte[] readBody(InputStream in, Map<String, String> fields) throws IOException {
    if (fields.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      return readChunks(in);
    }
    return readExactly(in, Integer.parseInt(fields.getOrDefault("content-length", "0")));
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
      body.write(readExactly(in, size));
      readLine(in);
    }
    readLine(in);
    return body.toByteArray();
  }

  private static int readChunkSize(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("the connection ended within a body");
    }
    return Integer.parseInt(line, 16);
  }

  private static byte[] readExactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the connection ended within a line");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }

  /** Encodes a message; {@code fields} are alternating names and values. */
  static byte[] encode(String startLine, byte[] body, String... fields) {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    for (int i = 0; i < fields.length; i += 2) {
      head.append(fields[i]).append(": ").append(fields[i + 1]).append("\r\n");
    }
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    message.writeBytes(body);
    return message.toByteArray();
  }
}
