package org.radishpost.http;

import java.io.IOException;
import java.io.InputStream;

/** Reads the heads of requests for targets that work on sockets. */
final class HeadReader {
  private static final String END = "\r\n\r\n";

  private HeadReader() {}

  /**
   * Reads the head of the next request, and nothing of its body.
   *
   * @return the head with its empty line; empty if the peer closed the connection before its end
   */
  static String read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(END) < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }
}
