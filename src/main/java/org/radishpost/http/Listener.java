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
 * <p>Create it, {@link #start} it once, and {@link #stop()} it once.
 */
public final class Listener {
  private final Endpoint address;
  private DisposableServer server;

  /**
   * Creates one that does not listen yet.
   *
   * @param address where it listens; port 0 stands for any free one
   */
  public Listener(Endpoint address) {
    this.address = address;
  }

  /**
   * Starts to listen.
   *
   * @param transport the server, without its address
   * @return the address with the port in use
   * @throws StartException if the address is taken or is not this machine's
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

  /** Stops listening; connections that are open stay so. */
  public void stopAccepting() {
    server.channel().close();
  }

  /** Closes everything; ends when it is closed. */
  public Mono<Void> stop() {
    server.dispose();
    return server.onDispose();
  }
}
