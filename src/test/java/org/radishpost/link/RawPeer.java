package org.radishpost.link;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import org.radishpost.errors.LinkException;
import org.radishpost.store.VmEntry;

/** A peer that writes to a plain socket, to send frames that no VM sends. */
final class RawPeer implements AutoCloseable {
  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private FrameMac sendMac;
  private FrameMac receiveMac;

  RawPeer(VmEntry vm) throws IOException {
    socket = new Socket(vm.link().ip(), vm.link().port());
    socket.setSoTimeout((int) LinkFixture.TIMEOUT.toMillis());
    in = new DataInputStream(socket.getInputStream());
    out = new DataOutputStream(socket.getOutputStream());
  }

  /** Completes the handshake as the dialer with the given key. */
  void authenticate(byte[] key, VmEntry self) throws IOException, LinkException {
    Handshake handshake = Handshake.dial(key, self, new byte[Handshake.NONCE_BYTES]);
    write(handshake.hello());
    Handshake.Step step = handshake.receive(read());
    write(step.response().orElseThrow());
    step = handshake.receive(read());
    write(step.response().orElseThrow());
    SessionKeys keys = step.authenticated().orElseThrow().keys();
    sendMac = new FrameMac(keys.sendFrameKey());
    receiveMac = new FrameMac(keys.receiveFrameKey());
  }

  void write(byte[] frame) throws IOException {
    writeLength(frame.length);
    out.write(frame);
  }

  void writeLength(int length) throws IOException {
    out.writeInt(length);
  }

  void send(Frame frame) throws IOException {
    byte[] bytes = frame.encode();
    byte[] mac = sendMac.compute(bytes);
    out.writeInt(bytes.length + mac.length);
    out.write(bytes);
    out.write(mac);
  }

  byte[] read() throws IOException {
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    return frame;
  }

  /** Returns the next frame that is not a heartbeat. */
  Frame receive() throws IOException, LinkException {
    Frame frame;
    do {
      frame = Frame.decode(receiveMac.verify(read()).orElseThrow());
    } while (frame.kind() == Frame.Kind.HEARTBEAT);
    return frame;
  }

  /**
   * Waits until the VM closes the connection; returns the number of bytes received before that, or
   * 0 if the connection was reset.
   */
  int bytesUntilClosed() throws IOException {
    try {
      return in.readAllBytes().length;
    } catch (SocketException reset) {
      return 0;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
