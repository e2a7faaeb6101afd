package org.radishpost.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.radishpost.lib.Endpoint;

/** Listens on any port of the loopback interface, and serves each connection on its own thread. */
final class SocketServer implements AutoCloseable {
  private static final int BACKLOG = 50;

  private final ServerSocket server;
  private final Consumer<Socket> handler;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /**
   * Starts a server.
   *
   * @param handler serves a connection until it ends
   */
  SocketServer(Consumer<Socket> handler) throws IOException {
    this.handler = handler;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  Endpoint address() {
    return new Endpoint("127.0.0.1", server.getLocalPort());
  }

  int connectionCount() {
    return sockets.size();
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> handler.accept(socket));
      } catch (IOException e) {
        return; // The server was closed.
      }
    }
  }
}
