package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP server on a loopback address that can be closed and opened again; thread-safe. */
final class HttpListener {
  private static final int BACKLOG = 200;

  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;
  private volatile int port;

  /** Responds to one request. */
  interface Handler {
    /** Writes the response; returns whether the connection stays open. */
    boolean handle(Http.Message request, OutputStream out) throws Exception;
  }

  HttpListener(Handler handler) {
    this.handler = handler;
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Starts to listen, on the same port as before if it has been closed. */
  void open() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
    port = opened.getLocalPort();
    server = opened;
    Thread.ofVirtual().start(() -> accept(opened));
  }

  /** Stops listening and closes all connections. */
  void close() {
    try {
      server.close();
    } catch (IOException e) {
      // The socket no longer accepts connections.
    }
    connections.forEach(HttpListener::close);
  }

  private void accept(ServerSocket from) {
    while (true) {
      try {
        Socket connection = from.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException e) {
        return; // The listener was closed.
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      Http.Message request = Http.read(in);
      while (request != null && handler.handle(request, out)) {
        request = Http.read(in);
      }
    } catch (Exception e) {
      // The peer or this listener closed the connection.
    } finally {
      connections.remove(connection);
    }
  }

  private static void close(Socket connection) {
    try {
      connection.close();
    } catch (IOException e) {
      // The connection has ended.
    }
  }
}
