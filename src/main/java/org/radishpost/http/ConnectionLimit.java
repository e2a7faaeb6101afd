package org.radishpost.http;

import io.netty.channel.Channel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.settings.NodeSettings.LimitSettings;

/** Limits the number of open connections, per caller address and in total. Thread-safe. */
final class ConnectionLimit {
  private final LimitSettings limits;
  private final AtomicInteger totalCount = new AtomicInteger();
  private final Map<InetAddress, Integer> countByCaller = new ConcurrentHashMap<>();

  ConnectionLimit(LimitSettings limits) {
    this.limits = limits;
  }

  /** Counts the connection until it closes. Returns whether it is within the limits. */
  boolean admit(Channel channel) {
    if (!(channel.remoteAddress() instanceof InetSocketAddress remote)) {
      return false;
    }
    InetAddress caller = remote.getAddress();
    channel.closeFuture().addListener(closed -> release(caller));
    int callerCount = countByCaller.merge(caller, 1, Integer::sum);
    return totalCount.incrementAndGet() <= limits.connections()
        && callerCount <= limits.callerConnections();
  }

  private void release(InetAddress caller) {
    totalCount.decrementAndGet();
    countByCaller.computeIfPresent(caller, (address, count) -> count == 1 ? null : count - 1);
  }
}
