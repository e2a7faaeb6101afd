package org.radishpost.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import org.radishpost.lib.Endpoint;

/**
 * A target that responds to each request with the next of the given texts, regardless of the
 * request.
 */
final class ScriptedTarget implements AutoCloseable {
  /** Suffix of a response after which the target closes the connection. */
  static final String THEN_CLOSE = "<close>";

  /** Suffix of a response after which the target sends nothing more. */
  static final String SEND_NOTHING_MORE = "<silent>";

  /** Within a response: the target sends the rest in a segment of its own, some time later. */
  static final String PAUSE = "<pause>";

  /** Used instead of a response: the target stops reading after the head of the request. */
  static final String STOP_READING = "<stall>";

  private static final Duration PAUSE_TIME = Duration.ofMillis(60);

  private final ServerSocket server;
  private final Deque<String> responses;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** The request heads that were received. */
  final List<String> receivedHeads = new CopyOnWriteArrayList<>();

  /** One element for each connection that its peer closed. */
  final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();

  ScriptedTarget(String... responses) throws IOException {
    this.responses = new ConcurrentLinkedDeque<>(List.of(responses));
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  Endpoint address() {
    return new Endpoint("127.0.0.1", server.getLocalPort());
  }

  int connectionCount() {
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
      receivedHeads.add("");
    }
  }

  private void serve(Socket socket) {
    try {
      String head = HeadReader.read(socket.getInputStream());
      while (!head.isEmpty()) {
        receivedHeads.add(head);
        String response = responses.poll();
        if (response == null) {
          socket.close();
          return;
        }
        if (response.equals(STOP_READING)) {
          return;
        }
        String text = response.replace(THEN_CLOSE, "").replace(SEND_NOTHING_MORE, "");
        send(socket, text);
        if (response.endsWith(THEN_CLOSE)) {
          socket.close();
          return;
        }
        if (response.endsWith(SEND_NOTHING_MORE)) {
          socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
          break;
        }
        head = HeadReader.read(socket.getInputStream());
      }
      closedConnections.add("end");
    } catch (IOException | InterruptedException e) {
      closedConnections.add("reset");
    }
  }

  private static void send(Socket socket, String text) throws IOException, InterruptedException {
    String[] segments = text.split(PAUSE);
    for (int i = 0; i < segments.length; i++) {
      if (i > 0) {
        Thread.sleep(PAUSE_TIME);
      }
      socket.getOutputStream().write(segments[i].getBytes(StandardCharsets.ISO_8859_1));
    }
  }
}
