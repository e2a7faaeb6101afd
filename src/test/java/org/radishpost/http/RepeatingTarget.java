package org.radishpost.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.lib.Endpoint;

/**
 * A target that sends each response again and again, late: on the same connection, just before the
 * responses to later requests.
 *
 * <p>The first request is answered with status 200, each later one with 500. The body of a response
 * is the number of its request.
 */
final class RepeatingTarget implements AutoCloseable {
  /** Which responses carry the request ID. */
  enum Ids {
    ALL,
    /** All but the late copies. */
    FIRST_ONLY,
    NONE
  }

  private final SocketServer server;
  private final Ids ids;
  private final AtomicInteger requests = new AtomicInteger();

  RepeatingTarget(Ids ids) throws IOException {
    this.ids = ids;
    this.server = new SocketServer(this::serve);
  }

  Endpoint address() {
    return server.address();
  }

  int connectionCount() {
    return server.connectionCount();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      String lateCopies = "";
      for (String head = HeadReader.read(in); !head.isEmpty(); head = HeadReader.read(in)) {
        int number = requests.incrementAndGet();
        String response = response(head, number, ids != Ids.NONE);
        out.write((lateCopies + response).getBytes(StandardCharsets.ISO_8859_1));
        lateCopies += response(head, number, ids == Ids.ALL);
      }
    } catch (IOException e) {
      // The sender closed the connection.
    }
  }

  private static String response(String requestHead, int number, boolean withId) {
    String body = String.valueOf(number);
    return (number == 1 ? "HTTP/1.1 200 OK" : "HTTP/1.1 500 Failed")
        + (withId ? "\r\nX-Request-Id: " + field(requestHead, "x-request-id") : "")
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + (requestHead.startsWith("HEAD ") ? "" : body);
  }

  private static String field(String head, String name) {
    return head.lines()
        .filter(line -> line.toLowerCase().startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst()
        .orElse("");
  }
}
