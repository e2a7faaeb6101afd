package org.radishpost.pgm;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;

/**
 * A target that ends, as by a crash of its process, when it runs a request with the crashing path.
 * It serves requests without a body.
 */
final class CrashableTarget implements AutoCloseable {
  static final String CRASHING_PATH = "/writes/crash";

  private final String id;
  private final AtomicInteger crashes;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /**
   * Starts a target on any port.
   *
   * @param id the ID of the target
   * @param crashes counts the crashes of all targets
   */
  CrashableTarget(String id, AtomicInteger crashes) throws IOException {
    this.id = id;
    this.crashes = crashes;
    this.server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  Endpoint address() {
    return new Endpoint(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  /** Refuses new connections, then resets the open ones. */
  @Override
  public void close() throws IOException {
    server.close();
    sockets.forEach(CrashableTarget::reset);
  }

  private static void reset(Socket socket) {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The peer has closed the connection before.
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return; // The target was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String requestLine = reader.readLine();
      while (requestLine != null) {
        respond(requestLine.split(" ")[1], readRequestId(reader), socket.getOutputStream());
        requestLine = reader.readLine();
      }
    } catch (IOException e) {
      // The connection was closed.
    }
  }

  private static String readRequestId(BufferedReader reader) throws IOException {
    String requestId = "none";
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.regionMatches(true, 0, WireNames.REQUEST_ID, 0, WireNames.REQUEST_ID.length())) {
        requestId = line.substring(line.indexOf(':') + 1).strip();
      }
      line = reader.readLine();
    }
    return requestId;
  }

  private void respond(String path, String requestId, OutputStream out) throws IOException {
    if (path.equals(CRASHING_PATH)) {
      crashes.incrementAndGet();
      close();
      return;
    }
    String response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            + WireNames.REQUEST_ID
            + ": "
            + requestId
            + "\r\n"
            + WireNames.RESPONDING_TARGET
            + ": "
            + id
            + "\r\n"
            + WireNames.UPSTREAM_SIGNATURE
            + ": proof\r\n"
            + WireNames.LOAD_REPORT
            + ": 0,0,2,100\r\n\r\nok";
    out.write(response.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
