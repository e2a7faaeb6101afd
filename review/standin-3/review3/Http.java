package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {
  private static final int MAX_HEAD_BYTES = 65_536;

  private Http() {}

  /** The first line and the fields of a message; field names are in lower case. */
  record Head(String firstLine, Map<String, String> fields) {
    String method() {
      return firstLine.split(" ")[0];
    }

    String target() {
      return firstLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** Reads a head; returns null if the stream ends before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int last4 = 0;
    while (last4 != 0x0d0a0d0a) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("the stream ended within a head");
      }
      bytes.write(next);
      last4 = last4 << 8 | next;
      if (bytes.size() > MAX_HEAD_BYTES) {
        throw new IOException("the head is too long");
      }
    }
    String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    Map<String, String> fields = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        fields.put(
            lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
            lines[i].substring(colon + 1).strip());
      }
    }
    return new Head(lines[0], fields);
  }

  /** Reads a body that has a length or is chunked; without either, it is empty. */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
      return readChunks(in);
    }
    String length = head.field("content-length");
    return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
      if (size == 0) {
        while (!readLine(in).isEmpty()) {
          // trailer fields are not used
        }
        return body.toByteArray();
      }
      body.write(readExactly(in, size));
      readLine(in);
    }
  }

  static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the stream ended within a body");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the stream ended within a line");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }
}
