package org.radishpost.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import org.radishpost.lib.Endpoint;

/** A target that answers each request head with the next of the given bytes, whatever they are. */
final class RawTarget implements AutoCloseable {
  /** Ends an answer after which the connection is closed. */
  static final String CLOSE = "<close>";

  /** Stands for no answer at all. */
  static final String SILENT = "<silent>";

  /** Stands for a target that stops reading before the body. */
  static final String STALL = "<stall>";

  private final ServerSocket server;
  private final Deque<String> answers;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** The heads that came. */
  final List<String> heads = new CopyOnWriteArrayList<>();

  /** One entry for each connection that its peer closed. */
  final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

  RawTarget(String... answers) throws IOException {
    this.answers = new ConcurrentLinkedDeque<>(List.of(answers));
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  Endpoint address() {
    return new Endpoint("127.0.0.1", server.getLocalPort());
  }

  int connections() {
    return sockets.size();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      heads.add("");
    }
  }

  private void serve(Socket socket) {
    try {
      String head = head(socket.getInputStream());
      while (!head.isEmpty()) {
        heads.add(head);
        String answer = answers.poll();
        if (answer == null) {
          socket.close();
          return;
        }
        if (answer.equals(STALL)) {
          return;
        }
        String text = answer.replace(CLOSE, "").replace(SILENT, "");
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        if (answer.endsWith(CLOSE)) {
          socket.close();
          return;
        }
        if (answer.endsWith(SILENT)) {
          socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
          break;
        }
        head = head(socket.getInputStream());
      }
      closed.add("end");
    } catch (IOException e) {
      closed.add("reset");
    }
  }

  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }
}
