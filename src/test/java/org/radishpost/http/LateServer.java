package org.radishpost.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;
import org.radishpost.lib.Endpoint;

/**
 * A server that sends a part of its answers late: on the same connection, just before the answer to
 * the next request.
 */
public final class LateServer implements AutoCloseable {
  private final SocketServer server;
  private final Function<String, Answer> responder;
  private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

  /**
   * An answer to a request.
   *
   * @param now the bytes that are sent at once
   * @param late the bytes that are sent before the next answer on the same connection
   * @param closes whether the server closes the connection after this answer
   */
  public record Answer(String now, String late, boolean closes) {
    /** Creates an answer after which the connection stays open. */
    public Answer(String now, String late) {
      this(now, late, false);
    }

    /** Returns an answer after which the server closes the connection. */
    public static Answer last(String bytes) {
      return new Answer(bytes, "", true);
    }

    /** Returns an answer that is sent once more, late. */
    public static Answer repeated(String response) {
      return new Answer(response, response);
    }
  }

  /**
   * Starts a server.
   *
   * @param responder answers the heads of requests, whose bodies must have lengths
   */
  public LateServer(Function<String, Answer> responder) throws IOException {
    this.responder = responder;
    this.server = new SocketServer(this::serve);
  }

  /** Returns the text of a response with a length. */
  public static String response(String status, String body) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns the text of a response without a length. */
  public static String responseWithoutLength(String status, String body) {
    return "HTTP/1.1 " + status + "\r\nServer: s\r\n\r\n" + body;
  }

  /** Returns the address. */
  public Endpoint address() {
    return server.address();
  }

  /** Waits for the head of the next request. */
  public String awaitRequest() throws InterruptedException {
    return requests.take();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void serve(Socket socket) {
    String late = "";
    try (socket) {
      for (String head = readHead(socket); !head.isEmpty(); head = readHead(socket)) {
        requests.add(head);
        Answer answer = responder.apply(head);
        socket.getOutputStream().write((late + answer.now()).getBytes(StandardCharsets.ISO_8859_1));
        late = answer.late();
        if (answer.closes()) {
          return;
        }
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static String readHead(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    in.skipNBytes(bodyBytes(head.toString()));
    return head.toString();
  }

  private static int bodyBytes(String head) {
    String name = "content-length:";
    return head.lines()
        .filter(line -> line.toLowerCase().startsWith(name))
        .map(line -> Integer.parseInt(line.substring(name.length()).strip()))
        .findFirst()
        .orElse(0);
  }
}
