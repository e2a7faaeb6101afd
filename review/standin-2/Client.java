package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** Sends requests, each on a connection of its own. */
final class Client {
  static final int DEADLINE_MILLIS = 2_000;

  private Client() {}

  /**
   * Sends a request and returns the response.
   *
   * @throws IOException if there is no complete response within the deadline
   */
  static Http.Message send(
      String address, String method, String path, String host, String requestId, byte[] body)
      throws IOException {
    try (Socket socket = EntryProcess.connect(address)) {
      socket.setSoTimeout(DEADLINE_MILLIS);
      socket
          .getOutputStream()
          .write(
              Http.encode(
                  method + " " + path + " HTTP/1.1",
                  body,
                  "Host",
                  host,
                  "X-Request-Id",
                  requestId,
                  "X-Deadline-Ms",
                  String.valueOf(DEADLINE_MILLIS)));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message response = Http.read(in);
      if (response == null) {
        throw new EOFException("no response");
      }
      return response;
    }
  }
}
