package org.radishpost.http;

import io.netty.resolver.NoopAddressResolverGroup;
import reactor.netty.transport.ClientTransport;

/**
 * Disables name resolution in clients, because VMs and targets are addressed by IP only.
 *
 * <p>The default resolver of the library would read the resolver configuration of the machine and
 * slow down each start.
 */
public final class NameResolution {
  private NameResolution() {}

  /** Returns the client without a resolver. Call this before {@code runOn}. */
  public static <T extends ClientTransport<T, ?>> T disable(T client) {
    return client.resolver(NoopAddressResolverGroup.INSTANCE);
  }
}
