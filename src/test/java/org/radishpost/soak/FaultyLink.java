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
    DELAY,
    /** Open connections are reset now. */
    RESET_OPEN,
    /** New connections are reset. */
    RESET_NEW,
    /** Connections that carry bytes meanwhile fall silent both ways. */
    DROP_BOTH_WAYS,
    /** Connections that carry bytes to the other end meanwhile fall silent that way. */
    DROP_TO_TARGET,
    /** Connections that carry bytes back meanwhile fall silent that way. */
    DROP_FROM_TARGET,
    /** Open connections fall silent now, both ways; new ones work. */
    DROP_OPEN
  }

  private static final Duration DELAY = Duration.ofMillis(150);
  private static final int BUFFER_BYTES = 16_384;
  private static final int BACKLOG = 500;

  private final ServerSocket server;
  private final Endpoint target;
  private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private volatile Fault fault = Fault.NONE;
  private volatile boolean affectsAll = true;

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
  public void setFault(Fault newFault, boolean allConnections) {
    affectsAll = allConnections;
    fault = newFault;
    switch (newFault) {
      case RESET_OPEN -> applyOnce(ProxiedConnection::reset);
      case DROP_OPEN -> applyOnce(ProxiedConnection::dropAll);
      default -> {
        // It holds from now on.
      }
    }
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
    if (connection.isAffectedBy(Fault.RESET_NEW)) {
      connection.reset();
      return;
    }
    try {
      callerSocket.setTcpNoDelay(true);
      targetSocket.setTcpNoDelay(true);
      targetSocket.connect(new InetSocketAddress(target.ip(), target.port()));
    } catch (IOException e) {
      connection.reset(); // Nobody listens there now: the caller learns that from the reset.
      return;
    }
    connections.add(connection);
    Thread.ofVirtual()
        .start(() -> connection.forward(callerSocket, targetSocket, Fault.DROP_TO_TARGET));
    Thread.ofVirtual()
        .start(() -> connection.forward(targetSocket, callerSocket, Fault.DROP_FROM_TARGET));
  }

  /** The two sockets of a connection. */
  private final class ProxiedConnection {
    private final Socket callerSocket;
    private final Socket targetSocket;
    private final int number;
    private volatile boolean dropsToTarget;
    private volatile boolean dropsFromTarget;

    ProxiedConnection(Socket callerSocket, Socket targetSocket, int number) {
      this.callerSocket = callerSocket;
      this.targetSocket = targetSocket;
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
            Thread.sleep(DELAY);
          }
          if (!isDropping(directionFault)) {
            out.write(buffer, 0, size);
          }
        }
        if (!isDropping(directionFault)) {
          to.shutdownOutput();
        }
      } catch (IOException | InterruptedException e) {
        reset(); // One side broke off: the other learns it the same way.
      }
      if (from.isInputShutdown() && to.isInputShutdown()) {
        connections.remove(this);
      }
    }

    private boolean isDropping(Fault directionFault) {
      boolean toTarget = directionFault == Fault.DROP_TO_TARGET;
      if (isAffectedBy(Fault.DROP_BOTH_WAYS) || isAffectedBy(directionFault)) {
        dropsToTarget |= toTarget;
        dropsFromTarget |= !toTarget;
      }
      return toTarget ? dropsToTarget : dropsFromTarget;
    }

    void dropAll() {
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
