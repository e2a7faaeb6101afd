package org.radishpost.http;

import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Binds servers and turns a failure into one that names the remedy. */
public final class ServerStart {
  private ServerStart() {}

  /**
   * Binds a server.
   *
   * @throws StartException if the address is taken or is not this machine's
   */
  public static DisposableServer bind(HttpServer server, Endpoint address) throws StartException {
    try {
      return server.bindNow();
    } catch (ChannelBindException e) {
      throw new StartException(
          "Cannot listen on " + address + ": free the port or change it in the settings.", e);
    }
  }
}
