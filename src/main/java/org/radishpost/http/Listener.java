package org.radishpost.http;

import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.transport.ServerTransport;

/**
 * The listening socket of a server.
 *
 * <p>Call {@link #start} once and {@link #stop()} once.
 */
public final class Listener {
  private final Endpoint address;
  private DisposableServer server;

  /**
   * Creates a listener that is not listening yet.
   *
   * @param address the address to listen on; port 0 selects any free port
   */
  public Listener(Endpoint address) {
    this.address = address;
  }

  /**
   * Starts listening.
   *
   * @param transport the server, without its address
   * @return the address with the actual port
   * @throws StartException if the address is already in use or does not belong to this machine
   */
  public <T extends ServerTransport<T, ?>> Endpoint start(T transport) throws StartException {
    try {
      server = transport.host(address.ip()).port(address.port()).bindNow();
    } catch (ChannelBindException e) {
      throw new StartException(
          "Cannot listen on " + address + ": free the port or change it in the settings.", e);
    }
    return new Endpoint(address.ip(), server.port());
  }

  /** Stops listening. Open connections remain open. */
  public void stopAccepting() {
    server.channel().close();
  }

  /** Closes the socket and all connections. Completes when they are closed. */
  public Mono<Void> stop() {
    server.dispose();
    return server.onDispose();
  }
}
