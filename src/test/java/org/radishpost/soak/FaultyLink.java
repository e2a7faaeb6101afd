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
 * A TCP proxy on loopback that can delay or reset its connections, or drop their data in one or
 * both directions.
 *
 * <p>A fault affects every second connection, or all connections, until another fault is set.
 * {@link Fault#RESET_OPEN} and {@link Fault#DROP_OPEN} take effect once, when they are set. A
 * connection that has dropped data in a direction drops all further data in that direction, even
 * after the fault is cleared. Thread-safe.
 */
public final class FaultyLink implements AutoCloseable {
  /** A fault of the connections. */
  public enum Fault {
    /** All data is forwarded. */
    NONE,
    /** Data is forwarded with a delay. */
    DELAY,
    /** Open connections are reset once. */
    RESET_OPEN,
    /** New connections are reset. */
    RESET_NEW,
    /** Connections that receive data while the fault is set drop it, in both directions. */
    DROP_BOTH_WAYS,
    /**
     * Connections that receive data for the target while the fault is set drop data in that
     * direction.
     */
    DROP_TO_TARGET,
    /**
     * Connections that receive data from the target while the fault is set drop data in that
     * direction.
     */
    DROP_FROM_TARGET,
    /** Open connections drop all data from now on, in both directions; new connections work. */
    DROP_OPEN
  }

  private static final Duration DELAY = Duration.ofMillis(150);
  private static final Duration RESET_DELAY = Duration.ofMillis(50);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(2);
  private static final int BUFFER_BYTES = 16_384;
  private static final int SEND_BUFFER_BYTES = 65_536;
  private static final int BACKLOG = 500;

  private final ServerSocket server;
  private final Endpoint target;
  private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
  private final Set<Integer> disturbedPorts = ConcurrentHashMap.newKeySet();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private volatile Fault fault = Fault.NONE;
  private volatile boolean affectsAll = true;

  /**
   * Starts to forward connections to the target.
   *
   * @param target the address to which connections are forwarded
   */
  public FaultyLink(Endpoint target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address on which the proxy listens. */
  public Endpoint address() {
    return new Endpoint(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  /** Sets the fault of all connections or of every second one. */
  public void setFault(Fault newFault, boolean allConnections) {
    affectsAll = allConnections;
    fault = newFault;
    switch (newFault) {
      case RESET_OPEN -> applyOnce(ProxiedConnection::resetByFault);
      case DROP_OPEN -> applyOnce(ProxiedConnection::dropAll);
      default -> {
        // The forwarding threads and new connections check the current fault.
      }
    }
  }

  /**
   * Returns whether this proxy has delayed, dropped or reset data of the connection that comes from
   * a port, or has not reached its target. Of several connections from a port the last one counts.
   */
  public boolean hasDisturbed(int callerPort) {
    return disturbedPorts.contains(callerPort);
  }

  private void applyOnce(Consumer<ProxiedConnection> change) {
    connections.stream().filter(connection -> connection.isAffectedBy(fault)).forEach(change);
    fault = Fault.NONE;
  }

  @Override
  public void close() throws IOException {
    server.close();
    connections.forEach(ProxiedConnection::reset);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket callerSocket = server.accept();
        Thread.ofVirtual().start(() -> connect(callerSocket));
      } catch (IOException e) {
        return; // The link was closed.
      }
    }
  }

  private void connect(Socket callerSocket) {
    Socket targetSocket = new Socket();
    ProxiedConnection connection =
        new ProxiedConnection(callerSocket, targetSocket, connectionCount.getAndIncrement());
    disturbedPorts.remove(callerSocket.getPort());
    if (connection.isAffectedBy(Fault.RESET_NEW)) {
      connection.resetByFault();
      return;
    }
    try {
      callerSocket.setTcpNoDelay(true);
      targetSocket.setTcpNoDelay(true);
      targetSocket.setSendBufferSize(SEND_BUFFER_BYTES); // So a sender waits for a slow target.
      targetSocket.connect(new InetSocketAddress(target.ip(), target.port()));
    } catch (IOException e) {
      connection.resetByFault(); // The target does not listen; a reset tells the caller.
      return;
    }
    connections.add(connection);
    Thread.ofVirtual()
        .start(() -> connection.forward(callerSocket, targetSocket, Fault.DROP_TO_TARGET));
    Thread.ofVirtual()
        .start(() -> connection.forward(targetSocket, callerSocket, Fault.DROP_FROM_TARGET));
  }

  /** A proxied connection and its two sockets. */
  private final class ProxiedConnection {
    private final Socket callerSocket;
    private final Socket targetSocket;
    private final int callerPort;
    private final int number;
    private final AtomicInteger writes = new AtomicInteger();
    private volatile boolean failed;
    private volatile boolean dropsToTarget;
    private volatile boolean dropsFromTarget;

    ProxiedConnection(Socket callerSocket, Socket targetSocket, int number) {
      this.callerSocket = callerSocket;
      this.targetSocket = targetSocket;
      this.callerPort = callerSocket.getPort();
      this.number = number;
    }

    boolean isAffectedBy(Fault candidate) {
      return fault == candidate && (affectsAll || number % 2 == 0);
    }

    void forward(Socket from, Socket to, Fault directionFault) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
          if (isAffectedBy(Fault.DELAY)) {
            recordDisturbance();
            Thread.sleep(DELAY);
          }
          if (!isDropping(directionFault)) {
            writes.incrementAndGet();
            out.write(buffer, 0, size);
            writes.decrementAndGet();
          }
        }
        if (!isDropping(directionFault)) {
          passOnEnd(to);
        }
      } catch (IOException | InterruptedException e) {
        failed = true;
        resetAfterDelay();
      }
      if (from.isInputShutdown() && to.isInputShutdown()) {
        connections.remove(this);
      }
    }

    /**
     * Ends the output cleanly, unless this end is a reset that a write in the other direction has
     * received in place of this read.
     */
    private void passOnEnd(Socket to) throws IOException, InterruptedException {
      while (writes.get() > 0 && !failed) {
        Thread.sleep(POLL_INTERVAL);
      }
      if (failed) {
        reset();
      } else {
        to.shutdownOutput();
      }
    }

    /** Reports a failure of one side to the other, which first gets what was sent before. */
    private void resetAfterDelay() {
      try {
        Thread.sleep(RESET_DELAY);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      reset();
    }

    private boolean isDropping(Fault directionFault) {
      boolean toTarget = directionFault == Fault.DROP_TO_TARGET;
      if (isAffectedBy(Fault.DROP_BOTH_WAYS) || isAffectedBy(directionFault)) {
        dropsToTarget |= toTarget;
        dropsFromTarget |= !toTarget;
        recordDisturbance();
      }
      return toTarget ? dropsToTarget : dropsFromTarget;
    }

    private void recordDisturbance() {
      disturbedPorts.add(callerPort);
    }

    void resetByFault() {
      recordDisturbance();
      reset();
    }

    void dropAll() {
      recordDisturbance();
      dropsToTarget = true;
      dropsFromTarget = true;
    }

    void reset() {
      connections.remove(this);
      reset(callerSocket);
      reset(targetSocket);
    }

    private static void reset(Socket socket) {
      try {
        socket.setSoLinger(true, 0);
      } catch (SocketException e) {
        // The socket is already closed.
      }
      try {
        socket.close();
      } catch (IOException e) {
        // The socket is already closed.
      }
    }
  }
}
