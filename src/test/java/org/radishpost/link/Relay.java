package org.radishpost.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.radishpost.store.VmEntry;

/** Forwards TCP connections to a VM, and can lose track of those that are open. */
final class Relay implements AutoCloseable {
  private final ServerSocket server;
  private final VmEntry target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile int generation;

  Relay(VmEntry target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the VM with the relay's address. */
  VmEntry entry() {
    return LinkFixture.entry(target.id().value(), server.getLocalPort());
  }

  /** Forwards no more bytes of open connections; new ones work. */
  void loseOpenConnections() {
    generation++;
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
        Socket caller = server.accept();
        Socket called = new Socket(target.link().ip(), target.link().port());
        sockets.addAll(List.of(caller, called));
        int born = generation;
        Thread.ofVirtual().start(() -> forward(caller, called, born));
        Thread.ofVirtual().start(() -> forward(called, caller, born));
      }
    } catch (IOException closed) {
      generation++;
    }
  }

  private void forward(Socket from, Socket to, int born) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] bytes = new byte[8192];
      int length = in.read(bytes);
      while (length >= 0) {
        if (generation == born) {
          out.write(bytes, 0, length);
        }
        length = in.read(bytes);
      }
      if (generation == born) {
        to.close();
      }
    } catch (IOException gone) {
      sockets.remove(from);
    }
  }
}
