package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** A client that sends one request on a new connection, as clients with the habit "fresh" do. */
final class Client {
  private final Record record;

  Client(Record record) {
    this.record = record;
  }

  /**
   * An answer; status 0 if the connection ended or the client left without one.
   *
   * @param seconds the time from the last byte of the request to the answer or the end; 0 if the
   *     request was not sent as a whole
   */
  record Answer(String requestId, int status, Http.Head head, byte[] body, double seconds) {}

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  Answer send(Entry entry, String method, String host, String path, int deadlineMillis, byte[] body)
      throws InterruptedException {
    String requestId = newId();
    double sent = Double.NaN;
    record.line("send     %s %s %s, %d bytes, to %s", requestId, method, path, body.length, entry.name);
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(entry.ip, entry.front), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(deadlineMillis);
      OutputStream out = socket.getOutputStream();
      out.write(head(method, host, path, requestId, deadlineMillis, body.length));
      out.write(body);
      out.flush();
      sent = record.now();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Head head = Http.readHead(in);
      if (head == null) {
        record.line("closed   %s", requestId);
        return new Answer(requestId, 0, null, new byte[0], since(sent));
      }
      byte[] answer = Http.readBody(in, head);
      record.line("answered %s %d", requestId, head.status());
      return new Answer(requestId, head.status(), head, answer, since(sent));
    } catch (IOException e) {
      record.line("failed   %s %s", requestId, e);
      return new Answer(requestId, 0, null, new byte[0], since(sent));
    }
  }

  private double since(double sent) {
    return Double.isNaN(sent) ? 0 : record.now() - sent;
  }

  static byte[] head(
      String method, String host, String path, String requestId, int deadlineMillis, long length) {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + requestId
            + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n"
            + (method.equals("POST") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    return head.getBytes(StandardCharsets.ISO_8859_1);
  }
}
