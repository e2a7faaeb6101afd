package org.radishpost.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;

/**
 * A server whose responses do not end before its peer closes the connection, or before {@value
 * #MAX_BYTES} bytes, which no peer should take.
 */
public final class EndlessServer implements AutoCloseable {
  /** More than any limit of a peer and the buffers of a connection together. */
  public static final long MAX_BYTES = 64 * 1024 * 1024;

  private static final int WRITE_BYTES = 65_536;

  private final ServerSocket server;
  private final EndlessResponse response;
  private final String healthPath;
  private final BlockingQueue<Long> sentBytes = new LinkedBlockingQueue<>();
  private final AtomicInteger tooMuchTaken = new AtomicInteger();

  /**
   * Starts a server on any port.
   *
   * @param response what it sends to each request
   * @param healthPath the path to which it responds with a short complete response; empty for none
   */
  public EndlessServer(EndlessResponse response, String healthPath) throws IOException {
    this.response = response;
    this.healthPath = healthPath;
    this.server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address of the server. */
  public Endpoint address() {
    return new Endpoint("127.0.0.1", server.getLocalPort());
  }

  /** Waits until the next endless response was stopped, and returns its size. */
  public long awaitSentBytes() throws InterruptedException {
    return sentBytes.take();
  }

  /** Returns the number of responses of which the peer took {@value #MAX_BYTES} bytes. */
  public int tooMuchTaken() {
    return tooMuchTaken.get();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread.ofPlatform().daemon().start(() -> serve(socket));
      } catch (IOException e) {
        return; // The server was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String head = HeadReader.read(socket.getInputStream());
      while (!healthPath.isEmpty() && head.startsWith("GET " + healthPath + " ")) {
        write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        head = HeadReader.read(socket.getInputStream());
      }
      if (!head.isEmpty()) {
        sendEndlessly(socket.getOutputStream(), requestId(head));
      }
    } catch (IOException e) {
      // The peer closed the connection.
    }
  }

  private static Optional<String> requestId(String head) {
    String prefix = WireNames.REQUEST_ID.toLowerCase(Locale.ROOT) + ":";
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
        .map(line -> line.substring(prefix.length()).strip())
        .findFirst();
  }

  private void sendEndlessly(OutputStream out, Optional<String> requestId) {
    String unit = response.repeated(requestId);
    String block = unit.repeat(Math.ceilDiv(WRITE_BYTES, unit.length()));
    long sent = 0;
    try {
      write(out, response.start(requestId));
      while (sent < MAX_BYTES && !server.isClosed()) {
        write(out, block);
        sent += block.length();
      }
      tooMuchTaken.incrementAndGet();
    } catch (IOException e) {
      // The peer closed the connection, as it should.
    }
    sentBytes.add(sent);
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
