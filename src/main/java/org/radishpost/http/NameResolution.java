package org.radishpost.http;

import io.netty.resolver.NoopAddressResolverGroup;
import reactor.netty.transport.ClientTransport;

/**
 * Keeps clients from looking names up: VMs and targets are known by IP numbers alone.
 *
 * <p>The library's resolver reads the machine's resolver files and takes time at each start.
 */
public final class NameResolution {
  private NameResolution() {}

  /** Returns the same client without a resolver of names; call it before it gets its threads. */
  public static <T extends ClientTransport<T, ?>> T disable(T client) {
    return client.resolver(NoopAddressResolverGroup.INSTANCE);
  }
}
