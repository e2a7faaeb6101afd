package org.radishpost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.radishpost.lib.Endpoint;

/**
 * A TCP proxy on loopback whose connections can be delayed, reset, silenced or cut one way.
 *
 * <p>A fault holds for each second connection, or for all, until the next one is set; resets and
 * the silence of open connections happen at once. Bytes that come into a silenced direction are
 * lost for good, as the connection never passes any again. Thread-safe.
 */
public final class FaultyLink implements AutoCloseable {
  /** What can be wrong with the connections. */
  public enum Fault {
    /** All bytes pass. */
    NONE,
    /** Bytes pass later. */
    DELAYED,
    /** Open connections are reset now. */
    RESET,
    /** New connections are reset. */
    REFUSED,
    /** Connections that carry bytes meanwhile fall silent both ways. */
    SILENT,
    /** Connections that carry bytes to the other end meanwhile fall silent that way. */
    SILENT_FORTH,
    /** Connections that carry bytes back meanwhile fall silent that way. */
    SILENT_BACK,
    /** Open connections fall silent now, both ways; new ones work. */
    SILENT_OPEN
  }

  private static final Duration DELAY = Duration.ofMillis(150);
  private static final int BUFFER_BYTES = 16_384;
  private static final int BACKLOG = 500;

  private final ServerSocket server;
  private final Endpoint target;
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
  private final AtomicInteger opened = new AtomicInteger();
  private volatile Fault fault = Fault.NONE;
  private volatile boolean all = true;

  /**
   * Starts to pass connections on.
   *
   * @param target the other end
   */
  public FaultyLink(Endpoint target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address that leads to the other end. */
  public Endpoint address() {
    return new Endpoint(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  /** Sets what is wrong from now on, with all connections or with each second one. */
  public void fault(Fault newest, boolean withAll) {
    all = withAll;
    fault = newest;
    switch (newest) {
      case RESET -> atOnce(Pair::reset);
      case SILENT_OPEN -> atOnce(Pair::silence);
      default -> {
        // It holds from now on.
      }
    }
  }

  private void atOnce(Consumer<Pair> change) {
    pairs.stream().filter(pair -> pair.hit(fault)).forEach(change);
    fault = Fault.NONE;
  }

  @Override
  public void close() throws IOException {
    server.close();
    pairs.forEach(Pair::reset);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Thread.ofVirtual().start(() -> connect(near));
      } catch (IOException e) {
        return; // The link was closed.
      }
    }
  }

  private void connect(Socket near) {
    Socket far = new Socket();
    Pair pair = new Pair(near, far, opened.getAndIncrement());
    if (pair.hit(Fault.REFUSED)) {
      pair.reset();
      return;
    }
    try {
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      far.connect(new InetSocketAddress(target.ip(), target.port()));
    } catch (IOException e) {
      pair.reset(); // Nobody listens there now: the caller learns that from the reset.
      return;
    }
    pairs.add(pair);
    Thread.ofVirtual().start(() -> pair.pump(near, far, Fault.SILENT_FORTH));
    Thread.ofVirtual().start(() -> pair.pump(far, near, Fault.SILENT_BACK));
  }

  /** The two sockets of a connection. */
  private final class Pair {
    private final Socket near;
    private final Socket far;
    private final int number;
    private volatile boolean silencedForth;
    private volatile boolean silencedBack;

    Pair(Socket near, Socket far, int number) {
      this.near = near;
      this.far = far;
      this.number = number;
    }

    boolean hit(Fault asked) {
      return fault == asked && (all || number % 2 == 0);
    }

    void pump(Socket from, Socket to, Fault oneWay) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
          if (hit(Fault.DELAYED)) {
            Thread.sleep(DELAY);
          }
          if (!isSilenced(oneWay)) {
            out.write(buffer, 0, size);
          }
        }
        if (!isSilenced(oneWay)) {
          to.shutdownOutput();
        }
      } catch (IOException | InterruptedException e) {
        reset(); // One side broke off: the other learns it the same way.
      }
      if (from.isInputShutdown() && to.isInputShutdown()) {
        pairs.remove(this);
      }
    }

    private boolean isSilenced(Fault oneWay) {
      boolean forth = oneWay == Fault.SILENT_FORTH;
      if (hit(Fault.SILENT) || hit(oneWay)) {
        silencedForth |= forth;
        silencedBack |= !forth;
      }
      return forth ? silencedForth : silencedBack;
    }

    void silence() {
      silencedForth = true;
      silencedBack = true;
    }

    void reset() {
      pairs.remove(this);
      reset(near);
      reset(far);
    }

    private static void reset(Socket socket) {
      try {
        socket.setSoLinger(true, 0);
      } catch (SocketException e) {
        // It is closed already.
      }
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }
}
