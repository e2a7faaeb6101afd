package org.radishpost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;

/** A connection on which a target sends bytes, also later and between those of a response. */
final class TargetConnection implements AutoCloseable {
  private final Socket socket;
  private Optional<byte[]> lastSecond = Optional.empty();

  TargetConnection(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
  }

  InputStream inputStream() throws IOException {
    return socket.getInputStream();
  }

  /** Returns the second response to the last request that had one. */
  synchronized Optional<byte[]> lastSecond() {
    return lastSecond;
  }

  synchronized void setLastSecond(byte[] second) {
    lastSecond = Optional.of(second);
  }

  /** Sends bytes, never within those of another call nor after the last ones. */
  synchronized void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Sends two parts, and nothing else in the pause between them. */
  synchronized void send(byte[] first, Duration pause, byte[] second)
      throws IOException, InterruptedException {
    send(first);
    Thread.sleep(pause);
    send(second);
  }

  /** Sends bytes and ends the stream. */
  synchronized void sendLast(byte[] bytes) throws IOException {
    send(bytes);
    socket.shutdownOutput();
  }

  /** Sends bytes after a delay, unless the connection has ended by then. */
  void sendLater(Duration delay, byte[] bytes) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(delay);
                send(bytes);
              } catch (IOException | InterruptedException e) {
                // The connection ended before the bytes were due.
              }
            });
  }

  void reset() {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The peer has closed the connection before.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
